/** Extracts the decisions for a call from the log lines of any number of nodes. */

/** A logged decision and the node that made it. */
export interface LoggedDecision {
  /** Time of the decision by the node's clock, ISO 8601. */
  readonly timestamp: string;
  readonly node: string;
  /** The decision and the inputs that led to it. */
  readonly fields: Readonly<Record<string, unknown>>;
}

const DECISION_MESSAGE = 'decision';
/** Fields of every log line, and those that are equal in all matching lines. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'timestamp',
  'node',
  'callId',
  'level',
  'message',
]);

/**
 * Returns the decisions for a call in log text, in order of time. Text before
 * the JSON of a line is ignored, as log collectors add prefixes. Truncated
 * lines are skipped.
 */
export function findDecisions(text: string, callId: string): LoggedDecision[] {
  return text
    .split('\n')
    .filter(line => line.includes(callId))
    .flatMap(line => parseLine(line, callId) ?? [])
    .sort((a, b) => a.timestamp.localeCompare(b.timestamp));
}

/** Milliseconds from one decision to another. */
export function elapsedMs(from: LoggedDecision, to: LoggedDecision): number {
  return Date.parse(to.timestamp) - Date.parse(from.timestamp);
}

function parseLine(line: string, callId: string): LoggedDecision | undefined {
  const entry = parseObject(line.slice(line.indexOf('{')));
  if (entry?.['message'] !== DECISION_MESSAGE || entry['callId'] !== callId) {
    return undefined;
  }
  const {timestamp, node} = entry;
  if (typeof timestamp !== 'string' || typeof node !== 'string') {
    return undefined;
  }
  const decisionFields = Object.entries(entry).filter(
    ([name]) => !COMMON_FIELDS.has(name),
  );
  return {timestamp, node, fields: Object.fromEntries(decisionFields)};
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === 'object' && value !== null;
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}
