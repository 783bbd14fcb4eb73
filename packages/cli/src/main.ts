/** Entry point of the program. */
import {EXIT} from './exit_codes';
import {printError} from './output';
import {runCommandLine} from './command_line';

runCommandLine(process.argv.slice(2)).catch(err => {
  printError(String(err));
  process.exitCode = EXIT.failed;
});
