/** `goldcresthill node`: runs the node of a VM. */
import {runGuarded} from '@goldcresthill/errors';
import {formatIssues} from '@goldcresthill/ini-document';
import {Logger} from '@goldcresthill/logger';
import {Node, onStopSignal} from '@goldcresthill/node';
import {PlatformStore} from '@goldcresthill/platform';
import {parseSettings} from '@goldcresthill/settings';
import type {NodeSettings} from '@goldcresthill/settings';
import {command, option, string} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {readInput} from '../../input';
import {printError} from '../../output';

export const nodeCommand = command({
  name: 'node',
  description: 'Run the node of this VM until SIGTERM or SIGINT.',
  args: {
    settings: option({
      type: string,
      long: 'settings',
      description: 'settings file in INI format; - reads standard input',
    }),
  },
  handler: async ({settings: file}) => {
    const settings = parseSettings(readInput(file));
    if (settings.isErr()) {
      printError(formatIssues(settings.error));
      process.exit(EXIT.refused);
    }
    await runNode(settings.value);
  },
});

async function runNode(settings: NodeSettings): Promise<void> {
  const {platform, logs} = settings;
  const logger = new Logger({
    node: settings.node.id,
    level: logs.level,
    decisionPercent: logs.decision_percent,
    bufferedLines: logs.buffered_lines,
  });
  const store = new PlatformStore({
    url: platform.url,
    timeoutMs: platform.timeout_ms,
  });
  const node = new Node({settings, store, logger});
  const started = node.start();
  onStopSignal(() =>
    runGuarded(exitOnFault, async () => {
      await started;
      const unfinished = await node.shutDown();
      logger.close();
      process.exitCode = unfinished === 0 ? EXIT.ok : EXIT.unfinished;
      setImmediate(() => process.exit());
    }),
  );
  await started;
}

function exitOnFault(err: unknown): void {
  printError(String(err));
  process.exit(EXIT.failed);
}
