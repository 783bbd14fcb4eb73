/** Parses and validates the headers of a call. */
import type {IncomingMessage} from 'node:http';
import {BalancerError} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import type {ClientAccount} from '@goldcresthill/accounts';
import type {ServiceRules} from '@goldcresthill/types';

/** Validated headers of a call. */
export interface CallHead {
  readonly service: string;
  readonly callId: string | undefined;
  /** Idempotency key. */
  readonly key: string | undefined;
  readonly deadlineMs: number;
  readonly retriesLeft: number;
  readonly depth: number;
  readonly repeatable: boolean;
  /** Maximum number of servers that may run the call; unlimited if undefined. */
  readonly maxRuns?: number;
  /** Route that the call matched; empty if the deployment has no routes. */
  readonly route: string;
  /** Service of the VM that the call originates from; empty if unknown. */
  readonly origin: string;
  /** Priority of the call; 0 is the highest. */
  readonly priority: number;
  /** Latency objective: time within which an answer has its full value, milliseconds. */
  readonly objectiveMs: number;
  /** Whether the caller has been refused before and returns. */
  readonly returning: boolean;
  /** Account that the caller's key identifies; undefined without one. */
  readonly account: ClientAccount | undefined;
}

const SERVICE_NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
const CALL_ID = /^[A-Za-z0-9._:-]{1,128}$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,200}$/;
const INTEGER = /^\d{1,9}$/;
/** Maximum number of gateways that a chain of nested calls may pass through. */
const MAX_DEPTH = 8;

/**
 * Returns the service that a request addresses: the service header, or else
 * the first label of the host. Throws BalancerError missingService or badHeader.
 */
export function serviceOf(req: IncomingMessage): string {
  const serviceHeader = req.headers[HEADERS.service];
  const name =
    typeof serviceHeader === 'string'
      ? serviceHeader
      : firstHostLabel(req.headers.host);
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

/**
 * Parses and validates the headers of a call. Throws BalancerError
 * unknownService, tooDeep, badDeadline or badHeader.
 */
export function readHead(
  req: IncomingMessage,
  service: string,
  rules: ServiceRules | undefined,
): CallHead {
  if (rules === undefined) throw new BalancerError('unknownService', service);
  const depth = integerHeader(req, HEADERS.depth) ?? 0;
  if (depth >= MAX_DEPTH)
    throw new BalancerError(
      'tooDeep',
      `nested call has passed through ${depth} gateways`,
    );
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
    account: undefined,
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
      `deadline must be 1 to ${rules.maxDeadlineMs} ms`,
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
