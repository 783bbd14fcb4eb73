/** Input files of commands, and the command that starts this program again. */
import {readFileSync} from 'node:fs';
import {isSea} from 'node:sea';

const STANDARD_INPUT = 0;

/** Reads a file as text; `-` means standard input. */
export function readInput(file: string): string {
  return readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8');
}

/** Executable and leading arguments with which this program was started. */
export function currentCommand(): string[] {
  const [, script = ''] = process.argv;
  return isSea() ? [process.execPath] : [process.execPath, script];
}
