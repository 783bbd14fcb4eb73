/** Text form of attempt identities. */
import type {AttemptId} from '@goldcresthill/types';

const ATTEMPT_KEY_PATTERN = /^([A-Za-z0-9._-]{1,64}):(\d{1,16}):(\d{1,16})$/;

/** Formats an attempt's identity as `gateway:incarnation:seq`. */
export function attemptKey(id: AttemptId): string {
  return `${id.gateway}:${id.incarnation}:${id.seq}`;
}

/** Parses an identity received from another node; undefined if it is malformed. */
export function parseAttemptKey(text: string): AttemptId | undefined {
  const match = ATTEMPT_KEY_PATTERN.exec(text);
  if (match === null) return undefined;
  return {
    gateway: match[1] ?? '',
    incarnation: Number(match[2]),
    seq: Number(match[3]),
  };
}
