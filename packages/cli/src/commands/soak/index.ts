/** `goldcresthill soak`: long randomised runs. */
import {command} from 'cmd-ts';
import {print} from '../../output';

export const soakCommand = command({
  name: 'soak',
  description: 'Long randomised runs of the decisions in virtual time.',
  args: {},
  handler: () => print('none yet'),
});
