/** `goldcresthill bench spread`: membership and configuration at the target's size. */
import {runSpreadExperiment} from '@goldcresthill/bench';
import {command, number, option} from 'cmd-ts';
import {print, printError} from '../../output';

export const spreadCommand = command({
  name: 'spread',
  description:
    'Measure dissemination, a node failure, a network partition and a store outage, in virtual time.',
  args: {
    nodes: option({type: number, long: 'nodes', defaultValue: () => 120}),
    seed: option({type: number, long: 'seed', defaultValue: () => 1}),
  },
  handler: async ({nodes, seed}) => {
    const report = await runSpreadExperiment({
      nodes,
      seed,
      onProgress: line => printError(`· ${line}`),
    });
    print(JSON.stringify(report, undefined, 2));
  },
});
