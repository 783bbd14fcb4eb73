// Global setup of the tests: some start the program of the platform as a process.
import {execFileSync} from 'node:child_process';
import process from 'node:process';

export function setup() {
  execFileSync(process.execPath, ['scripts/build_platform.mjs'], {
    stdio: 'inherit',
  });
}
