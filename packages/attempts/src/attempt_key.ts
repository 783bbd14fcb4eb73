/** Text form of an attempt's identity. */
import type {AttemptId} from '@goldcresthill/types';

const ATTEMPT_KEY_PATTERN = /^([A-Za-z0-9._-]{1,64}):(\d{1,16}):(\d{1,16})$/;

/** Joins the parts of an attempt's identity. */
export function attemptKey(id: AttemptId): string {
  return `${id.gateway}:${id.incarnation}:${id.seq}`;
}

/** Reads an identity received from another node; undefined if it is not one. */
export function parseAttemptKey(text: string): AttemptId | undefined {
  const match = ATTEMPT_KEY_PATTERN.exec(text);
  if (match === null) return undefined;
  return {
    gateway: match[1] ?? '',
    incarnation: Number(match[2]),
    seq: Number(match[3]),
  };
}
