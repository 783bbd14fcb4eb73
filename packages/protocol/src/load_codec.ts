/** Text form of a load report, short as it goes with each answer. */
import type {LoadReport, ServerState} from '@goldcresthill/types';

const STATES: readonly ServerState[] = ['up', 'draining', 'down'];
const PARTS = 6;

/** Writes a report as six numbers parted by commas. */
export function encodeReport(report: LoadReport): string {
  const state = STATES.indexOf(report.state);
  return `${report.inFlight},${report.queued},${report.limit},${report.serviceUs},${report.slowdown},${state}`;
}

/** Reads a report; undefined if the text is not one. */
export function decodeReport(text: string | undefined): LoadReport | undefined {
  if (text === undefined) return undefined;
  const parts = text.split(',').map(Number);
  if (parts.length !== PARTS || !parts.every(isCount)) return undefined;
  const [inFlight = 0, queued = 0, limit = 1, serviceUs = 0] = parts;
  const [slowdown = 1, state = 0] = parts.slice(4);
  return {
    inFlight,
    queued,
    limit,
    serviceUs,
    slowdown,
    state: STATES[state] ?? 'up',
  };
}

function isCount(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
