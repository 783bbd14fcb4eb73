/** The command line. */
export {runCommandLine} from './command_line';
export {EXIT} from './exit_codes';
