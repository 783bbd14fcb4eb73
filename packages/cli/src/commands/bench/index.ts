/** `goldcresthill bench`: experiments. */
import {subcommands} from 'cmd-ts';
import {routingCommand} from './routing';

export const benchCommand = subcommands({
  name: 'bench',
  description: 'Experiments.',
  cmds: {routing: routingCommand},
});
