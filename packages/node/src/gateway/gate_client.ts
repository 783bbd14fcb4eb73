/** Exchanges of a gateway with gates: attempts, resolutions, probes, key questions. */
import type {OwnerAnswer, Resolution} from '@goldcresthill/attempts';
import {attemptKey} from '@goldcresthill/attempts';
import {isErrorKind} from '@goldcresthill/errors';
import type {ErrorKind} from '@goldcresthill/errors';
import {decodeLoadReport, HEADERS} from '@goldcresthill/protocol';
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
import {freshClient} from './gate_links';

/** The parts of a call that are the same for each attempt. */
export interface OutgoingCall {
  readonly info: CallAttributes;
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
  readonly leftMs: number;
  /** Milliseconds until the latency objective has passed; negative afterwards. */
  readonly objectiveMs: number;
}

/** What the holder of a claim says, with the answer it kept. */
export interface OwnerReply {
  readonly answer: OwnerAnswer;
  readonly kept: BufferedAnswer | undefined;
}

/** A resolution, or that the gate could not be asked. */
export type RemoteResolution =
  Resolution<BufferedAnswer> | {readonly type: 'unreachable'};

const ASK_TIMEOUT_MS = 500;
const MAX_KEPT_BYTES = 67_108_864;
const EMPTY = Buffer.alloc(0);
const OWNER_ANSWERS: readonly OwnerAnswer[] = [
  'running',
  'notRun',
  'done',
  'ran',
  'unknown',
];

/** Sends an attempt; answers a function that cancels it. */
export function sendAttempt(
  pool: Pool,
  call: OutgoingCall,
  attempt: RemoteAttempt,
  done: (result: AttemptResult) => void,
): () => void {
  const {info} = call;
  const key = attemptKey(attempt.id);
  const headers: HeaderMap = {
    ...call.headers,
    [HEADERS.attempt]: key,
    [HEADERS.gateIncarnation]: String(attempt.gateIncarnation),
    [HEADERS.service]: info.service,
    [HEADERS.callId]: info.callId,
    [HEADERS.deadlineMs]: String(Math.max(1, Math.round(attempt.leftMs))),
    [HEADERS.retriesLeft]: String(attempt.retriesLeft),
    [HEADERS.depth]: String(info.depth),
    [HEADERS.priority]: String(info.priority),
    [HEADERS.objectiveMs]: String(Math.round(attempt.objectiveMs)),
  };
  if (!info.repeatable) headers[HEADERS.once] = '1';
  if (info.route !== '') headers[HEADERS.route] = info.route;
  if (info.origin !== '') headers[HEADERS.origin] = info.origin;
  if (info.returning) headers[HEADERS.returning] = '1';
  if (attempt.suspect) headers[HEADERS.suspect] = '1';
  const {method, path, body, maxBufferedBytes} = call;
  const exchange = new HttpExchange(
    {method, path, headers, body, maxBufferedBytes},
    result => done(readAttempt(result, key, method)),
  );
  exchange.start(pool);
  return () => exchange.abort('cancelled');
}

/** Asks a gate, on a new connection, what became of an attempt. */
export async function askResolution(
  host: string,
  port: number,
  id: AttemptId,
  gateIncarnation: number,
): Promise<RemoteResolution> {
  const headers = {
    [HEADERS.attempt]: attemptKey(id),
    [HEADERS.gateIncarnation]: String(gateIncarnation),
  };
  const result = await askOnce(host, port, OPERATION_PATHS.resolve, headers);
  if (result.type === 'broke') return {type: 'unreachable'};
  return readResolution(result);
}

/** Asks the gateway that holds a claim what became of its call. */
export async function askOwner(
  host: string,
  port: number,
  token: string,
  incarnation: number,
): Promise<OwnerReply> {
  const headers = {[HEADERS.gateIncarnation]: String(incarnation)};
  const path = OPERATION_PATHS.key + encodeURIComponent(token);
  const result = await askOnce(host, port, path, headers);
  if (result.type === 'broke') return {answer: 'unreachable', kept: undefined};
  const word = text(result.headers[HEADERS.resolution]);
  const answer = OWNER_ANSWERS.find(known => known === word) ?? 'unknown';
  const kept = answer === 'done' ? readKept(result) : undefined;
  return {
    answer: answer === 'done' && kept === undefined ? 'ran' : answer,
    kept,
  };
}

/** Reads the configuration that another node has in force; undefined if it cannot be had. */
export function fetchConfig(holder: NodeAddress): Promise<string | undefined> {
  return fetchText(holder, OPERATION_PATHS.config);
}

/** Reads the records that another node holds; undefined if they cannot be had. */
export function fetchMembers(holder: NodeAddress): Promise<string | undefined> {
  return fetchText(holder, OPERATION_PATHS.members);
}

async function fetchText(
  {host, dataPort}: NodeAddress,
  path: string,
): Promise<string | undefined> {
  const result = await askOnce(host, dataPort, path, {});
  if (result.type === 'broke' || result.status !== 200) return undefined;
  return result.body.type === 'whole'
    ? result.body.bytes.toString()
    : undefined;
}

/** Asks a gate for the load of its server. */
export function probe(
  pool: Pool,
  service: string,
  done: (report: LoadReport | undefined) => void,
): void {
  const exchange = new HttpExchange(
    {
      method: 'GET',
      path: OPERATION_PATHS.load + service,
      headers: {},
      body: EMPTY,
      maxBufferedBytes: 1_024,
    },
    result => {
      clearTimeout(timer);
      const load =
        result.type === 'answer' ? result.headers[HEADERS.load] : undefined;
      done(decodeLoadReport(text(load)));
    },
  );
  const timer = setTimeout(
    () => exchange.abort('probe timed out'),
    ASK_TIMEOUT_MS,
  );
  exchange.start(pool);
}

/** Tells a gate that an answer has arrived whole. */
export function acknowledge(pool: Pool, id: AttemptId): void {
  const headers = {[HEADERS.attempt]: attemptKey(id)};
  const path = OPERATION_PATHS.acknowledge;
  const req = {
    method: 'POST',
    path,
    headers,
    body: EMPTY,
    maxBufferedBytes: 1_024,
  };
  new HttpExchange(req, () => undefined).start(pool);
}

async function askOnce(
  host: string,
  port: number,
  path: string,
  headers: HeaderMap,
): Promise<ExchangeResult> {
  const client = freshClient(host, port);
  try {
    return await exchangeOnce(client, path, headers);
  } finally {
    void client.destroy();
  }
}

function exchangeOnce(
  dispatcher: Dispatcher,
  path: string,
  headers: HeaderMap,
): Promise<ExchangeResult> {
  return new Promise(done => {
    const req = {
      method: 'GET',
      path,
      headers,
      body: EMPTY,
      maxBufferedBytes: MAX_KEPT_BYTES,
    };
    const exchange = new HttpExchange(req, result => {
      clearTimeout(timer);
      done(result);
    });
    const timer = setTimeout(
      () => exchange.abort('not answered'),
      ASK_TIMEOUT_MS,
    );
    exchange.start(dispatcher);
  });
}

function readAttempt(
  result: ExchangeResult,
  key: string,
  method: string,
): AttemptResult {
  const nothing = {report: undefined, gateUs: 0};
  if (result.type === 'broke') {
    return result.sent
      ? {type: 'broke', kind: 'connectionLost', ...nothing}
      : {type: 'refused', kind: 'serverUnreachable', ...nothing};
  }
  const {headers} = result;
  if (headers[HEADERS.attempt] !== key) {
    return {type: 'broke', kind: 'brokenAnswer', ...nothing};
  }
  const report = decodeLoadReport(text(headers[HEADERS.load]));
  const gateUs = Number(text(headers[HEADERS.gateUs]) ?? 0);
  const resolution = text(headers[HEADERS.resolution]);
  if (resolution !== undefined) {
    const kind = kindOf(text(headers[HEADERS.errorKind]));
    const type = resolution === 'notRun' ? 'refused' : 'broke';
    return {type, kind, report, gateUs};
  }
  if (!isWhole(result, method)) {
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

function isWhole(
  result: ExchangeResult & {type: 'answer'},
  method: string,
): boolean {
  if (result.body.type === 'stream') return true;
  const named = text(result.headers[HEADERS.wholeBytes]);
  // A streamed answer that turned out short has no length; its last chunk proves it whole.
  if (named === undefined)
    return method !== 'HEAD' || result.body.bytes.length === 0;
  return Number(named) === result.body.bytes.length;
}

function readResolution(
  result: ExchangeResult & {type: 'answer'},
): RemoteResolution {
  const kind = kindOf(text(result.headers[HEADERS.errorKind]));
  switch (text(result.headers[HEADERS.resolution])) {
    case 'notRun':
      return {type: 'notRun', kind};
    case 'running':
      return {type: 'running'};
    case 'done':
      return {type: 'done', answer: readKept(result)};
    case 'unknown':
      return {type: 'unknown', kind};
    default:
      return {type: 'unreachable'};
  }
}

function readKept(
  result: ExchangeResult & {type: 'answer'},
): BufferedAnswer | undefined {
  const named = text(result.headers[HEADERS.wholeBytes]);
  if (named === undefined || result.body.type !== 'whole') return undefined;
  if (Number(named) !== result.body.bytes.length) return undefined;
  return {
    status: result.status,
    headers: result.headers,
    body: result.body.bytes,
  };
}

function kindOf(word: string | undefined): ErrorKind {
  return word !== undefined && isErrorKind(word) ? word : 'internal';
}

function text(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
