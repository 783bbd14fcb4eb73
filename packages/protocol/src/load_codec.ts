/** Text encoding of a load report; short, as every response carries one. */
import type {LoadReport, ServerState} from '@goldcresthill/types';

const SERVER_STATES: readonly ServerState[] = ['up', 'draining', 'down'];
const FIELD_COUNT = 6;

/** Encodes a report as six comma-separated numbers. */
export function encodeLoadReport(report: LoadReport): string {
  const state = SERVER_STATES.indexOf(report.state);
  return `${report.inFlight},${report.queued},${report.limit},${report.serviceUs},${report.slowdown},${state}`;
}

/** Decodes a report; undefined if the text is not a valid report. */
export function decodeLoadReport(
  text: string | undefined,
): LoadReport | undefined {
  if (text === undefined) return undefined;
  const parts = text.split(',').map(Number);
  if (parts.length !== FIELD_COUNT || !parts.every(isNonNegative))
    return undefined;
  const [inFlight = 0, queued = 0, limit = 1, serviceUs = 0] = parts;
  const [slowdown = 1, state = 0] = parts.slice(4);
  return {
    inFlight,
    queued,
    limit,
    serviceUs,
    slowdown,
    state: SERVER_STATES[state] ?? 'up',
  };
}

function isNonNegative(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}
