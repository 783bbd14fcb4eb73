/** `goldcresthill bench`: experiments. */
import {command, subcommands} from 'cmd-ts';
import {print} from '../../output';

const placeholder = command({
  name: 'list',
  description: 'List the experiments.',
  args: {},
  handler: () => print('none yet'),
});

export const benchCommand = subcommands({
  name: 'bench',
  description: 'Experiments.',
  cmds: {list: placeholder},
});
