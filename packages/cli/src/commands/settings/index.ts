/** `goldcresthill settings`: checks a settings file. */
import {formatIssues} from '@goldcresthill/ini-document';
import {parseSettings, SETTINGS_EXAMPLE} from '@goldcresthill/settings';
import {command, positional, string, subcommands} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {readInput} from '../../input';
import {print, printError} from '../../output';

const check = command({
  name: 'check',
  description: 'Check a settings file and print it with all defaults.',
  args: {file: positional({type: string, displayName: 'FILE'})},
  handler: ({file}) => {
    const settings = parseSettings(readInput(file));
    if (settings.isErr()) {
      printError(formatIssues(settings.error));
      process.exit(EXIT.refused);
    }
    print(JSON.stringify(settings.value, undefined, 2));
  },
});

const example = command({
  name: 'example',
  description: 'Print a settings file to start from.',
  args: {},
  handler: () => print(SETTINGS_EXAMPLE.trimEnd()),
});

export const settingsCommand = subcommands({
  name: 'settings',
  description: 'Settings of a node.',
  cmds: {check, example},
});
