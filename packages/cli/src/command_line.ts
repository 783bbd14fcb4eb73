/** The command line with all commands and their help. */
import {binary, run, subcommands} from 'cmd-ts';
import {benchCommand} from './commands/bench';
import {demoCommand} from './commands/demo';
import {explainCommand} from './commands/explain';
import {nodeCommand} from './commands/node';
import {processSoakCommand} from './commands/process_soak';
import {routeCommand} from './commands/route';
import {settingsCommand} from './commands/settings';
import {soakCommand} from './commands/soak';
import {standInCommand} from './commands/stand_in';
import {statusCommand} from './commands/status';
import {ticketCommand} from './commands/ticket';

const VERSION = '0.1.0';

const root = subcommands({
  name: 'goldcresthill',
  version: VERSION,
  description: 'Load balancer for servers whose load shifts in milliseconds.',
  examples: [
    {
      description: 'Run the node of a VM',
      command: 'goldcresthill node --settings node.ini',
    },
    {
      description: 'Submit a ticket',
      command: 'goldcresthill ticket submit 17.ini',
    },
    {description: 'See the fleet', command: 'goldcresthill status'},
  ],
  cmds: {
    node: nodeCommand,
    settings: settingsCommand,
    ticket: ticketCommand,
    status: statusCommand,
    explain: explainCommand,
    route: routeCommand,
    bench: benchCommand,
    soak: soakCommand,
    'process-soak': processSoakCommand,
    demo: demoCommand,
    'stand-in': standInCommand,
  },
});

/** Runs the command selected by the arguments. */
export async function runCommandLine(args: readonly string[]): Promise<void> {
  await run(binary(root), ['goldcresthill', 'goldcresthill', ...args]);
}
