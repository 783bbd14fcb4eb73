/** Entry point of the program. */
import {runCommandLine} from './command_line';

void runCommandLine(process.argv.slice(2));
