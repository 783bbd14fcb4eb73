/** HTTP client of a gateway for the gates of other nodes: attempts, resolutions, probes and claim queries. */
import type {OwnerAnswer, Resolution} from '@goldcresthill/attempts';
import {attemptKey} from '@goldcresthill/attempts';
import {isErrorKind, runGuarded} from '@goldcresthill/errors';
import type {ErrorKind} from '@goldcresthill/errors';
import {decodeLoadReport, HEADERS} from '@goldcresthill/protocol';
import {TransferTimeout} from '@goldcresthill/timers';
import type {
  AttemptId,
  CallAttributes,
  LoadReport,
  NodeAddress,
} from '@goldcresthill/types';
import type {Dispatcher, Pool} from 'undici';
import {OPERATION_PATHS} from '../gate/data_listener';
import type {AttemptResult, BufferedAnswer} from '../gate/messages';
import {HttpExchange} from '../http/exchange';
import type {ExchangeResult} from '../http/exchange';
import type {HeaderMap} from '../http/header_filter';
import type {InputBudget} from '../http/input_budget';
import {runShortExchange} from '../http/short_exchange';
import {createQueryClient} from './gate_links';

/** The parts of a call that are the same for all its attempts. */
export interface OutgoingCall {
  readonly attributes: CallAttributes;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Buffer;
  readonly maxBufferedBytes: number;
}

/** One attempt at a gate of another node. */
export interface RemoteAttempt {
  readonly id: AttemptId;
  readonly gateIncarnation: number;
  readonly suspect: boolean;
  readonly retriesLeft: number;
  /** Milliseconds until the deadline. */
  readonly remainingMs: number;
  /** Milliseconds until the latency objective; negative once it has passed. */
  readonly objectiveRemainingMs: number;
}

/** State of a claimed call as reported by the owner of the claim, with its stored answer. */
export interface OwnerReply {
  readonly answer: OwnerAnswer;
  readonly kept: BufferedAnswer | undefined;
}

/** Resolution of an attempt, or `unreachable` if its gate did not answer. */
export type RemoteResolution =
  Resolution<BufferedAnswer> | {readonly type: 'unreachable'};

const QUERY_TIMEOUT_MS = 500;
const MAX_KEPT_ANSWER_BYTES = 67_108_864;
/** Several times the text of a configuration or of the largest member table. */
const MAX_TEXT_BYTES = 8_388_608;
const EMPTY_BODY = Buffer.alloc(0);
const OWNER_ANSWERS: readonly OwnerAnswer[] = [
  'running',
  'notRun',
  'done',
  'ran',
  'unknown',
];

/** Sends an attempt and returns a function that cancels it. `done` is called once. */
export function sendAttempt(
  pool: Pool,
  call: OutgoingCall,
  attempt: RemoteAttempt,
  done: (result: AttemptResult) => void,
  budget?: InputBudget,
): () => void {
  const {attributes} = call;
  const key = attemptKey(attempt.id);
  const headers: HeaderMap = {
    ...call.headers,
    [HEADERS.attempt]: key,
    [HEADERS.gateIncarnation]: String(attempt.gateIncarnation),
    [HEADERS.service]: attributes.service,
    [HEADERS.callId]: attributes.callId,
    [HEADERS.deadlineMs]: String(Math.max(1, Math.round(attempt.remainingMs))),
    [HEADERS.retriesLeft]: String(attempt.retriesLeft),
    [HEADERS.depth]: String(attributes.depth),
    [HEADERS.priority]: String(attributes.priority),
    [HEADERS.objectiveMs]: String(Math.round(attempt.objectiveRemainingMs)),
  };
  if (!attributes.repeatable) headers[HEADERS.once] = '1';
  if (attributes.route !== '') headers[HEADERS.route] = attributes.route;
  if (attributes.origin !== '') headers[HEADERS.origin] = attributes.origin;
  if (attributes.returning) headers[HEADERS.returning] = '1';
  if (attributes.mustEnd === true) headers[HEADERS.mustEnd] = '1';
  if (attempt.suspect) headers[HEADERS.suspect] = '1';
  const {method, path, body, maxBufferedBytes} = call;
  const exchange = new HttpExchange(
    {method, path, headers, body, maxBufferedBytes, budget},
    result => done(parseAttemptResult(result, key, method)),
  );
  exchange.start(pool);
  return () => exchange.abort('cancelled');
}

/** Asks a gate for the outcome of an attempt, on a new connection as the attempt's own may be broken. */
export async function resolveAttempt(
  host: string,
  port: number,
  id: AttemptId,
  gateIncarnation: number,
): Promise<RemoteResolution> {
  const headers = {
    [HEADERS.attempt]: attemptKey(id),
    [HEADERS.gateIncarnation]: String(gateIncarnation),
  };
  const result = await queryOnce(host, port, OPERATION_PATHS.resolve, headers);
  if (result.type === 'broke') return {type: 'unreachable'};
  return parseResolution(result);
}

/** Asks the gateway that owns a claim for the state of its call. */
export async function askOwner(
  host: string,
  port: number,
  token: string,
  incarnation: number,
): Promise<OwnerReply> {
  const headers = {[HEADERS.gateIncarnation]: String(incarnation)};
  const path = OPERATION_PATHS.key + encodeURIComponent(token);
  const result = await queryOnce(host, port, path, headers);
  if (result.type === 'broke') return {answer: 'unreachable', kept: undefined};
  const state = singleValue(result.headers[HEADERS.resolution]);
  const answer =
    OWNER_ANSWERS.find(knownAnswer => knownAnswer === state) ?? 'unknown';
  const kept = answer === 'done' ? parseKeptAnswer(result) : undefined;
  return {
    answer: answer === 'done' && kept === undefined ? 'ran' : answer,
    kept,
  };
}

/** Fetches the configuration in force at another node; undefined if it is unavailable. */
export function fetchConfig(node: NodeAddress): Promise<string | undefined> {
  return fetchText(node, OPERATION_PATHS.config);
}

/** Fetches the member records of another node; undefined if they are unavailable. */
export function fetchMembers(node: NodeAddress): Promise<string | undefined> {
  return fetchText(node, OPERATION_PATHS.members);
}

async function fetchText(
  {host, dataPort}: NodeAddress,
  path: string,
): Promise<string | undefined> {
  const result = await queryOnce(host, dataPort, path, {}, MAX_TEXT_BYTES);
  if (result.type === 'broke' || result.status !== 200) return undefined;
  return result.body.type === 'whole'
    ? result.body.bytes.toString()
    : undefined;
}

/** Asks a gate for the load of its server; `done` is called once, with undefined if it did not report one. */
export function probeLoad(
  pool: Pool,
  service: string,
  done: (report: LoadReport | undefined) => void,
): void {
  const path = OPERATION_PATHS.load + service;
  const req = {method: 'GET', path, headers: {}};
  runShortExchange(pool, req, QUERY_TIMEOUT_MS, result => {
    const load =
      result.type === 'answer' ? result.headers[HEADERS.load] : undefined;
    done(decodeLoadReport(singleValue(load)));
  });
}

/** Tells a gate that an answer has arrived completely. */
export function acknowledgeAttempt(pool: Pool, id: AttemptId): void {
  const headers = {[HEADERS.attempt]: attemptKey(id)};
  const req = {method: 'POST', path: OPERATION_PATHS.acknowledge, headers};
  runShortExchange(pool, req, QUERY_TIMEOUT_MS);
}

/** The answer is there, or the query has failed, so nothing depends on how its connection closes. */
function ignoreCloseError(): void {}

async function queryOnce(
  host: string,
  port: number,
  path: string,
  headers: HeaderMap,
  maxBufferedBytes = MAX_KEPT_ANSWER_BYTES,
): Promise<ExchangeResult> {
  const client = createQueryClient(host, port);
  try {
    return await exchangeOnce(client, path, headers, maxBufferedBytes);
  } finally {
    runGuarded(ignoreCloseError, () => client.destroy());
  }
}

function exchangeOnce(
  dispatcher: Dispatcher,
  path: string,
  headers: HeaderMap,
  maxBufferedBytes: number,
): Promise<ExchangeResult> {
  return new Promise(done => {
    const req = {
      method: 'GET',
      path,
      headers,
      body: EMPTY_BODY,
      maxBufferedBytes,
      onProgress: () => timeout.recordProgress(),
    };
    const exchange = new HttpExchange(req, result => {
      timeout.close();
      done(result);
    });
    const timeout = new TransferTimeout({
      firstMs: QUERY_TIMEOUT_MS,
      idleMs: QUERY_TIMEOUT_MS,
      onTimeout: () => exchange.abort('query timed out'),
    });
    exchange.start(dispatcher);
  });
}

function parseAttemptResult(
  result: ExchangeResult,
  key: string,
  method: string,
): AttemptResult {
  const noReport = {report: undefined, gateUs: 0};
  if (result.type === 'broke') {
    return result.sent
      ? {type: 'broke', kind: 'connectionLost', ...noReport}
      : {type: 'refused', kind: 'serverUnreachable', ...noReport};
  }
  const {headers} = result;
  if (headers[HEADERS.attempt] !== key) {
    return {type: 'broke', kind: 'brokenAnswer', ...noReport};
  }
  const report = decodeLoadReport(singleValue(headers[HEADERS.load]));
  const gateUs = Number(singleValue(headers[HEADERS.gateUs]) ?? 0);
  const resolution = singleValue(headers[HEADERS.resolution]);
  if (resolution !== undefined) {
    const kind = parseErrorKind(singleValue(headers[HEADERS.errorKind]));
    const type = resolution === 'notRun' ? 'refused' : 'broke';
    return {type, kind, report, gateUs};
  }
  if (!isComplete(result, method)) {
    return {type: 'broke', kind: 'brokenAnswer', report, gateUs};
  }
  return {
    type: 'answered',
    status: result.status,
    headers,
    body: result.body,
    report,
    gateUs,
  };
}

function isComplete(
  result: ExchangeResult & {type: 'answer'},
  method: string,
): boolean {
  if (result.body.type === 'stream') return true;
  const declaredLength = singleValue(result.headers[HEADERS.wholeBytes]);
  // A streamed answer declares no length, even if it turned out short enough to
  // be buffered; its last chunk proves that it is complete.
  if (declaredLength === undefined)
    return method !== 'HEAD' || result.body.bytes.length === 0;
  return Number(declaredLength) === result.body.bytes.length;
}

function parseResolution(
  result: ExchangeResult & {type: 'answer'},
): RemoteResolution {
  const kind = parseErrorKind(singleValue(result.headers[HEADERS.errorKind]));
  switch (singleValue(result.headers[HEADERS.resolution])) {
    case 'notRun':
      return {type: 'notRun', kind};
    case 'running':
      return {type: 'running'};
    case 'done':
      return {type: 'done', answer: parseKeptAnswer(result)};
    case 'unknown':
      return {type: 'unknown', kind};
    default:
      return {type: 'unreachable'};
  }
}

function parseKeptAnswer(
  result: ExchangeResult & {type: 'answer'},
): BufferedAnswer | undefined {
  const declaredLength = singleValue(result.headers[HEADERS.wholeBytes]);
  if (declaredLength === undefined || result.body.type !== 'whole')
    return undefined;
  if (Number(declaredLength) !== result.body.bytes.length) return undefined;
  return {
    status: result.status,
    headers: result.headers,
    body: result.body.bytes,
  };
}

function parseErrorKind(value: string | undefined): ErrorKind {
  return value !== undefined && isErrorKind(value) ? value : 'internal';
}

function singleValue(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
