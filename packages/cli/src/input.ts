/** Files that commands read, and how they run themselves. */
import {readFileSync} from 'node:fs';
import {isSea} from 'node:sea';

const STANDARD_INPUT = 0;

/** Text of a file; `-` stands for standard input. */
export function readInput(file: string): string {
  return readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8');
}

/** Program and leading arguments that start this command line again. */
export function currentCommand(): string[] {
  const [, script = ''] = process.argv;
  return isSea() ? [process.execPath] : [process.execPath, script];
}
