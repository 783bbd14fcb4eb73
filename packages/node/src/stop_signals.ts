/** Signals that ask a process to stop. */

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Calls `stop` at the first signal to stop. Further ones change nothing: a
 * process that stops still has requests at work, which the default action of a
 * signal would cut.
 */
export function onStopSignal(stop: (signal: NodeJS.Signals) => void): void {
  let isStopping = false;
  const handle = (signal: NodeJS.Signals): void => {
    if (isStopping) return;
    isStopping = true;
    stop(signal);
  };
  for (const signal of STOP_SIGNALS) process.on(signal, handle);
}
