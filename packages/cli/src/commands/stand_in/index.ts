/** `goldcresthill stand-in`: stand-ins for the platform and for a server, for demos and experiments. */
import {onStopSignal} from '@goldcresthill/node';
import {
  Announcer,
  FakeServer,
  PlatformServer,
  seededRandom,
} from '@goldcresthill/test-utils';
import {command, number, option, string, subcommands} from 'cmd-ts';
import {printError} from '../../output';

const port = option({type: number, long: 'port', defaultValue: () => 0});

const platform = command({
  name: 'platform',
  description: "Run an in-memory stand-in for the platform's service.",
  args: {port},
  handler: async args => {
    await new PlatformServer().listen(args.port);
  },
});

const server = command({
  name: 'server',
  description:
    'Run a stand-in for a server and announce it to the node of this VM.',
  args: {
    port,
    service: option({type: string, long: 'service'}),
    operator: option({type: string, long: 'operator'}),
    gateway: option({type: string, long: 'gateway', defaultValue: () => ''}),
    slots: option({type: number, long: 'slots', defaultValue: () => 10}),
    meanMs: option({type: number, long: 'mean-ms', defaultValue: () => 10}),
    variability: option({
      type: number,
      long: 'variability',
      defaultValue: () => 0.5,
    }),
  },
  handler: async args => {
    const fake = new FakeServer({
      slots: args.slots,
      serviceTime: {meanMs: args.meanMs, variability: args.variability},
      random: seededRandom(process.pid),
      gatewayUrl: args.gateway,
    });
    const bound = await fake.listen(args.port);
    const announcer = new Announcer({
      operatorUrl: args.operator,
      service: args.service,
      port: bound,
      slots: args.slots,
      instance: `${process.pid}-${Date.now()}`,
    });
    await announcer.start();
    onStopSignal(() => {
      announcer.drain().catch(err => printError(String(err)));
      setTimeout(() => process.exit(0), 2_000);
    });
  },
});

export const standInCommand = subcommands({
  name: 'stand-in',
  description: 'Stand-ins for demos and experiments.',
  cmds: {platform, server},
});
