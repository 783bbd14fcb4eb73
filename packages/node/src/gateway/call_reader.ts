/** Reads what a caller asks for, and refuses what is not in order. */
import type {IncomingMessage} from 'node:http';
import {BalancerError} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import type {ServiceRules} from '@goldcresthill/types';

/** What the headers of a call say, checked. */
export interface CallHead {
  readonly service: string;
  readonly callId: string | undefined;
  readonly key: string | undefined;
  readonly deadlineMs: number;
  readonly retriesLeft: number;
  readonly depth: number;
  readonly repeatable: boolean;
  /** Most servers that may run the call; no bound if undefined. */
  readonly maxRuns?: number;
  /** Route that the call was sent on; empty without routes. */
  readonly route: string;
  /** Service of the VM where the call began; empty if unknown. */
  readonly origin: string;
  /** Rank of the call; 0 goes first. */
  readonly priority: number;
  /** Time within which an answer is worth its full value, milliseconds. */
  readonly objectiveMs: number;
  /** The caller was refused before. */
  readonly returning: boolean;
}

const SERVICE_NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
const CALL_ID = /^[A-Za-z0-9._:-]{1,128}$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,200}$/;
const INTEGER = /^\d{1,9}$/;
/** Gateways that one call tree may pass through. */
const MAX_DEPTH = 8;

/** Name of the service that a request is for: the header, or the first label of the host. */
export function serviceOf(req: IncomingMessage): string {
  const named = req.headers[HEADERS.service];
  const name =
    typeof named === 'string' ? named : firstHostLabel(req.headers.host);
  if (name === undefined) {
    throw new BalancerError(
      'missingService',
      `header ${HEADERS.service} is missing`,
    );
  }
  if (!SERVICE_NAME.test(name))
    throw new BalancerError('badHeader', HEADERS.service);
  return name;
}

/** Checks the headers of a call. Throws a BalancerError that says what is wrong. */
export function readHead(
  req: IncomingMessage,
  service: string,
  rules: ServiceRules | undefined,
): CallHead {
  if (rules === undefined) throw new BalancerError('unknownService', service);
  const depth = integerHeader(req, HEADERS.depth) ?? 0;
  if (depth >= MAX_DEPTH)
    throw new BalancerError('tooDeep', `${depth} gateways deep`);
  const requestedRetries =
    integerHeader(req, HEADERS.retriesLeft) ?? rules.maxRetries;
  const deadlineMs = deadlineMsOf(req, rules);
  return {
    service,
    callId: matchingHeader(req, HEADERS.callId, CALL_ID),
    key: matchingHeader(req, HEADERS.idempotencyKey, IDEMPOTENCY_KEY),
    deadlineMs,
    retriesLeft: Math.min(requestedRetries, rules.maxRetries),
    depth: depth + 1,
    repeatable: isRepeatable(req, rules),
    route: '',
    origin: '',
    priority: 0,
    objectiveMs: deadlineMs,
    returning: false,
  };
}

function deadlineMsOf(req: IncomingMessage, rules: ServiceRules): number {
  const requested = req.headers[HEADERS.deadlineMs];
  if (requested === undefined) return rules.deadlineMs;
  const ms =
    typeof requested === 'string' && INTEGER.test(requested)
      ? Number(requested)
      : 0;
  if (ms < 1 || ms > rules.maxDeadlineMs) {
    throw new BalancerError(
      'badDeadline',
      `1 to ${rules.maxDeadlineMs} ms are allowed`,
    );
  }
  return ms;
}

function isRepeatable(req: IncomingMessage, rules: ServiceRules): boolean {
  const path = req.url ?? '/';
  if (rules.oncePaths.some(prefix => path.startsWith(prefix))) return false;
  if (rules.repeatablePaths.some(prefix => path.startsWith(prefix)))
    return true;
  return rules.repeatableMethods.includes(req.method ?? '');
}

function integerHeader(req: IncomingMessage, name: string): number | undefined {
  const value = matchingHeader(req, name, INTEGER);
  return value === undefined ? undefined : Number(value);
}

function matchingHeader(
  req: IncomingMessage,
  name: string,
  pattern: RegExp,
): string | undefined {
  const value = req.headers[name];
  if (value === undefined) return undefined;
  if (typeof value !== 'string' || !pattern.test(value)) {
    throw new BalancerError('badHeader', name);
  }
  return value;
}

function firstHostLabel(host: string | undefined): string | undefined {
  if (host === undefined || /^[\d.:[\]]+$/.test(host)) return undefined;
  const [label] = host.split(/[.:]/);
  return label === '' || label === 'localhost' ? undefined : label;
}
