/** `goldcresthill soak`: long randomised trials in virtual time. */
import {runSoak} from '@goldcresthill/trials';
import {command, number, option} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {print, printError} from '../../output';

const MILLIS_PER_MINUTE = 60_000;

export const soakCommand = command({
  name: 'soak',
  description:
    'Run randomised trials of the production code in virtual time for the given minutes.',
  args: {
    minutes: option({type: number, long: 'minutes', defaultValue: () => 1}),
    seed: option({type: number, long: 'seed', defaultValue: () => 1_000_000}),
  },
  handler: async ({minutes, seed}) => {
    const endsAt = performance.now() + minutes * MILLIS_PER_MINUTE;
    const report = await runSoak({
      seed,
      shouldContinue: () => performance.now() < endsAt,
      onProgress: r =>
        printError(
          `· ${r.callTrials} trials of calls, ${r.ticketTrials} of tickets`,
        ),
    });
    const {callTrials, ticketTrials, requests, failures} = report;
    print(
      `seeds from ${seed}: ${callTrials} trials of calls (${requests} requests), ${ticketTrials} of tickets, ${failures.length} failures`,
    );
    for (const failure of failures) {
      print(`seed ${failure.seed}, ${failure.kind}, ${failure.guarantee}`);
      print(
        `minimal faults: ${failure.faults.join(', ')}; ${failure.requests} requests`,
      );
      print(failure.message);
    }
    process.exitCode = failures.length === 0 ? EXIT.ok : EXIT.checkFailed;
  },
});
