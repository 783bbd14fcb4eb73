import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';

const here = dirname(fileURLToPath(import.meta.url));
const program = join(here, '../../../../dist/goldcresthill.cjs');
const POLL_MS = 50;

/** Processes that a process has started and that have not ended. */
function childrenOf(pid: number): number[] {
  const text = readFileSync(`/proc/${pid}/task/${pid}/children`, 'utf8');
  return text.trim().split(' ').filter(Boolean).map(Number);
}

function isAlive(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

async function until(condition: () => boolean, ms: number): Promise<boolean> {
  const end = performance.now() + ms;
  while (!condition() && performance.now() < end) {
    await new Promise(done => setTimeout(done, POLL_MS));
  }
  return condition();
}

describe('a fleet of processes', () => {
  it.each(['SIGTERM', 'SIGINT'] as const)(
    'ends with its parent on %s',
    async signal => {
      const args = [program, 'demo', '--seconds', '60'];
      const demo = spawn(process.execPath, args, {stdio: 'ignore'});
      const pid = demo.pid ?? 0;
      expect(await until(() => childrenOf(pid).length >= 3, 30_000)).toBe(true);
      const children = childrenOf(pid);
      demo.kill(signal);
      await new Promise(done => demo.once('exit', done));
      const allGone = await until(() => !children.some(isAlive), 5_000);
      children.filter(isAlive).forEach(child => process.kill(child, 'SIGKILL'));
      expect(allGone).toBe(true);
    },
  );
});
