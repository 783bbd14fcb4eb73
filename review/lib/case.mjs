// Runs one case: sets up, judges, ends everything, and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Recorder} from './recorder.mjs';

const LIMIT_MS = 115_000;

/** `run(context)` resolves to whether the rule was broken; context has recorder, trouble and `fleet` to be set. */
export async function runCase(url, run) {
  const recorder = new Recorder(join(dirname(fileURLToPath(url)), 'record.txt'));
  const context = {recorder, trouble: process.env.TROUBLE !== '0', fleet: undefined};
  let exitCode = 2;
  let isEnding = false;
  const limit = setTimeout(() => {
    recorder.say('time limit reached');
    void end();
  }, LIMIT_MS);
  const end = async () => {
    if (isEnding) return;
    isEnding = true;
    clearTimeout(limit);
    await context.fleet?.close();
    await recorder.close();
    process.exit(exitCode);
  };
  // Whatever goes wrong here, no process is left behind.
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.on(event, err => {
      if (isEnding) return;
      recorder.say(`could not run: ${err?.stack}`);
      exitCode = 2;
      void end();
    });
  }
  process.on('SIGTERM', () => void end());
  process.on('SIGINT', () => void end());
  try {
    const broken = await run(context);
    exitCode = broken ? 1 : 0;
    recorder.say(broken ? 'RULE BROKEN' : 'rule held');
  } catch (err) {
    recorder.say(`could not run: ${err.stack}`);
  }
  await end();
}
