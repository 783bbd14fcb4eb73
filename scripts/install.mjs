// Installs the locked dependencies in the root of the workspace if they are out of date.
import {execSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const MARKER = 'node_modules/.package-lock.json';

/** Changes to the workspace root and runs `npm ci` if the lock file is newer than the installed packages. */
export function installIfStale() {
  process.chdir(join(dirname(fileURLToPath(import.meta.url)), '..'));
  const stale =
    !existsSync(MARKER) ||
    statSync(MARKER).mtimeMs < statSync('package-lock.json').mtimeMs;
  if (stale) execSync('npm ci', {stdio: ['ignore', 2, 2]});
}
