/** Data port: receives attempts and queries of the gateways of other nodes for the gate of this node. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {OwnerAnswer} from '@goldcresthill/attempts';
import {parseAttemptKey} from '@goldcresthill/attempts';
import {BalancerError} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
import {encodeLoadReport, HEADERS} from '@goldcresthill/protocol';
import type {Timers} from '@goldcresthill/timers';
import type {AttemptId} from '@goldcresthill/types';
import {endWithBody, pipeStream} from '../http/answer_body';
import type {DispatchQueue} from '../http/dispatch_queue';
import type {InputBudget} from '../http/input_budget';
import {readBody} from '../http/request_body';
import {endToEndHeaders} from '../http/header_filter';
import {decodePathSegment, Listener} from '../http/listener';
import type {
  CrossDomainTraffic,
  TrafficKind,
} from '../peers/cross_domain_traffic';
import type {GateTask} from './gate_task';
import type {AttemptRequest, AttemptResult, BufferedAnswer} from './messages';

export interface DataListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly incarnation: number;
  readonly timers: Timers;
  readonly gate: GateTask;
  readonly budget: InputBudget;
  readonly dispatchQueue: DispatchQueue;
  readonly onDecision: (fields: Readonly<Record<string, unknown>>) => void;
  /** Returns the state of the call with a claim token at this node's gateway, and its answer if that was kept. */
  readonly answerOwnerQuery: (token: string) => {
    answer: OwnerAnswer;
    kept: BufferedAnswer | undefined;
  };
  /** Text of the configuration in force, for nodes that cannot read it from the store. */
  readonly configText?: () => string | undefined;
  /** Membership records of all nodes, for nodes that have just started. */
  readonly memberTableText?: () => string;
  /** Counts responses to other failure domains. */
  readonly traffic?: CrossDomainTraffic;
  readonly onFault: FaultListener;
}

/** Paths of operations other than attempts. */
export const OPERATION_PATHS = {
  load: '/.gh/load/',
  resolve: '/.gh/resolve',
  acknowledge: '/.gh/acknowledge',
  key: '/.gh/key/',
  config: '/.gh/config',
  members: '/.gh/members',
} as const;

/** Largest head of a request of another node, bytes, unless a caller's may be larger. */
const MIN_HEADER_BYTES = 65_536;
/** Bytes that a gateway may add to a caller's head. */
const GATEWAY_HEADER_BYTES = 16_384;
const MAX_BODY_BYTES = 67_108_864;
const BODY_TIMEOUT_MS = 30_000;

/** Converts HTTP requests of other gateways into messages to the gate task. */
export class DataListener {
  private readonly listener: Listener;

  constructor(private readonly options: DataListenerOptions) {
    const {host, port, onFault} = options;
    this.listener = new Listener({
      host,
      port,
      onFault,
      maxHeaderBytes: MIN_HEADER_BYTES,
      budget: options.budget,
      maxConnections: options.budget.connections?.data,
      onConnection: () => options.dispatchQueue.recordConnection(),
      handle: (req, res) => this.handle(req, res),
    });
  }

  listen(): Promise<number> {
    return this.listener.listen();
  }

  /** Makes room for callers' heads of the given size. */
  setMaxCallerHeaderBytes(bytes = 0): void {
    const maxHeaderBytes = Math.max(
      MIN_HEADER_BYTES,
      bytes + GATEWAY_HEADER_BYTES,
    );
    this.listener.setLimits({maxHeaderBytes});
  }

  stopAccepting(): void {
    this.listener.stopAccepting();
  }

  close(): Promise<void> {
    return this.listener.close();
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const path = req.url ?? '/';
    const attempt = header(req, HEADERS.attempt);
    const isCall = attempt !== undefined && isForwardedCall(req);
    const id = attempt === undefined ? undefined : parseAttemptKey(attempt);
    const kind = isCall ? 'answer' : trafficKindOf(path);
    this.options.traffic?.watchResponse(kind, id?.gateway, req, res);
    if (isCall) {
      this.receiveAttempt(req, res, attempt);
      return;
    }
    if (path.startsWith(OPERATION_PATHS.load)) this.writeLoad(path, res);
    else if (path === OPERATION_PATHS.resolve && id !== undefined)
      this.resolve(id, req, res);
    else if (path === OPERATION_PATHS.acknowledge && id !== undefined) {
      this.options.gate.post({type: 'acknowledge', id});
      res.writeHead(204).end();
    } else if (path.startsWith(OPERATION_PATHS.key))
      this.handleOwnerQuery(path, req, res);
    else if (path === OPERATION_PATHS.config)
      writeText(res, this.options.configText?.());
    else if (path === OPERATION_PATHS.members)
      writeText(res, this.options.memberTableText?.());
    else writeRefusal(res, 'wrongInterface');
  }

  private receiveAttempt(
    req: IncomingMessage,
    res: ServerResponse,
    attempt: string,
  ): void {
    const {budget, dispatchQueue} = this.options;
    const options = {
      maxBytes: MAX_BODY_BYTES,
      budget,
      timeoutMs: BODY_TIMEOUT_MS,
    };
    readBody(req, options, body => {
      if (body instanceof BalancerError) {
        // The attempt was never registered; without an answer its gateway resolves it.
        res.destroy();
        return;
      }
      // The gateway closed the connection before the attempt was registered; it has to resolve it.
      if (res.destroyed) {
        body.release();
        return;
      }
      res.on('close', () => body.release());
      dispatchQueue.add({
        req,
        dispatch: () => this.postAttempt(req, res, body.bytes, attempt),
        // The attempt was never registered; a gateway that still wants to know resolves it.
        drop: () => this.logDropped(req),
      });
    });
  }

  private logDropped(req: IncomingMessage): void {
    this.options.onDecision({
      what: 'cancelled',
      callId: header(req, HEADERS.callId),
      service: header(req, HEADERS.service),
      once: header(req, HEADERS.once) === '1',
      state: 'received',
    });
  }

  private postAttempt(
    req: IncomingMessage,
    res: ServerResponse,
    body: Buffer,
    attempt: string,
  ): void {
    const once = header(req, HEADERS.once) === '1';
    const id = parseAttemptKey(attempt);
    const service = header(req, HEADERS.service);
    if (service === undefined || id === undefined) {
      writeRefusal(res, 'badHeader');
      return;
    }
    const now = this.options.timers.now();
    const request: AttemptRequest = {
      id,
      once,
      gateIncarnation: Number(header(req, HEADERS.gateIncarnation) ?? 0),
      callId: header(req, HEADERS.callId) ?? '',
      service,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: headersForServer(req, service),
      body,
      deadline: now + numberHeader(req, HEADERS.deadlineMs),
      route: header(req, HEADERS.route) ?? '',
      origin: header(req, HEADERS.origin) ?? '',
      priority: numberHeader(req, HEADERS.priority),
      objective: now + numberHeader(req, HEADERS.objectiveMs),
      returning: header(req, HEADERS.returning) === '1',
      suspect: header(req, HEADERS.suspect) === '1',
      mustEnd: header(req, HEADERS.mustEnd) === '1',
      reply: result => writeResult(res, attempt, result, this.options.budget),
    };
    let cancel = (): void => undefined;
    const provideCancel = (cancelAttempt: () => void): void => {
      cancel = cancelAttempt;
    };
    res.on('close', () => {
      if (!res.writableFinished) cancel();
    });
    this.options.gate.post({
      type: 'attempt',
      req: request,
      provideCancel,
    });
  }

  private writeLoad(path: string, res: ServerResponse): void {
    const report = this.options.gate.reportOf(
      path.slice(OPERATION_PATHS.load.length),
    );
    if (report === undefined) writeRefusal(res, 'noServer');
    else res.writeHead(204, {[HEADERS.load]: encodeLoadReport(report)}).end();
  }

  private resolve(
    id: AttemptId,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const gateIncarnation = Number(header(req, HEADERS.gateIncarnation) ?? 0);
    const reply = (resolution: {
      type: string;
      kind?: string;
      answer?: BufferedAnswer | undefined;
    }): void => {
      const headers: Record<string, string> = {
        [HEADERS.resolution]: resolution.type,
      };
      if (resolution.kind !== undefined)
        headers[HEADERS.errorKind] = resolution.kind;
      writeBuffered(res, headers, resolution.answer);
    };
    this.options.gate.post({type: 'resolve', id, gateIncarnation, reply});
  }

  private handleOwnerQuery(
    path: string,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const token = decodePathSegment(path.slice(OPERATION_PATHS.key.length));
    if (token === undefined) {
      writeRefusal(res, 'badHeader');
      return;
    }
    const askedIncarnation = Number(header(req, HEADERS.gateIncarnation) ?? 0);
    const isThisProcess = askedIncarnation === this.options.incarnation;
    const {answer, kept} = isThisProcess
      ? this.options.answerOwnerQuery(token)
      : {answer: 'unknown' as const, kept: undefined};
    writeBuffered(res, {[HEADERS.resolution]: answer}, kept);
  }
}

function header(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Whether a request is a caller's, which may have any path. Gateways name the
 * service of each call and of no operation, and forward no such header of a caller.
 */
function isForwardedCall(req: IncomingMessage): boolean {
  return header(req, HEADERS.service) !== undefined;
}

/** What the response to an operation counts as in the traffic between failure domains. */
function trafficKindOf(path: string): TrafficKind {
  if (path.startsWith(OPERATION_PATHS.load)) return 'loadQuery';
  if (path === OPERATION_PATHS.config) return 'configuration';
  return path === OPERATION_PATHS.members ? 'memberTable' : 'other';
}

/** Number in a request header; 0 if it is missing or not a finite number. */
function numberHeader(req: IncomingMessage, name: string): number {
  const value = Number(header(req, name) ?? 0);
  return Number.isFinite(value) ? value : 0;
}

function headersForServer(req: IncomingMessage, service: string) {
  const headers = endToEndHeaders(req.headers);
  headers[HEADERS.service] = service;
  for (const name of [HEADERS.callId, HEADERS.retriesLeft, HEADERS.depth]) {
    const value = header(req, name);
    if (value !== undefined) headers[name] = value;
  }
  return headers;
}

function writeText(res: ServerResponse, text: string | undefined): void {
  if (text === undefined) writeRefusal(res, 'noServer');
  else res.writeHead(200, {'content-type': 'application/json'}).end(text);
}

function writeRefusal(
  res: ServerResponse,
  kind: 'wrongInterface' | 'badHeader' | 'noServer',
): void {
  const {status} = new BalancerError(kind, '').answer;
  res.writeHead(status, {[HEADERS.errorKind]: kind}).end();
}

function writeBuffered(
  res: ServerResponse,
  headers: Record<string, string>,
  answer: BufferedAnswer | undefined,
): void {
  if (answer === undefined) {
    res.writeHead(204, headers).end();
    return;
  }
  const length = String(answer.body.length);
  const headersWithLength = {
    ...headers,
    'content-length': length,
    [HEADERS.wholeBytes]: length,
  };
  res
    .writeHead(answer.status, {
      ...endToEndHeaders(answer.headers),
      ...headersWithLength,
    })
    .end(answer.body);
}

/** Writes the result of an attempt, with the attempt's identity so that it cannot be mistaken for that of another. */
function writeResult(
  res: ServerResponse,
  attempt: string,
  result: AttemptResult,
  budget: InputBudget,
): void {
  if (res.destroyed) {
    if (result.type === 'answered' && result.body.type === 'stream') {
      result.body.stream.destroy();
    }
    return;
  }
  const gateHeaders: Record<string, string> = {
    [HEADERS.attempt]: attempt,
    [HEADERS.gateUs]: String(result.gateUs),
  };
  if (result.report !== undefined)
    gateHeaders[HEADERS.load] = encodeLoadReport(result.report);
  if (result.type !== 'answered') {
    gateHeaders[HEADERS.resolution] =
      result.type === 'refused' ? 'notRun' : 'unknown';
    gateHeaders[HEADERS.errorKind] = result.kind;
    res.writeHead(503, gateHeaders).end();
    return;
  }
  const {status} = result;
  const headers = {...endToEndHeaders(result.headers), ...gateHeaders};
  if (result.body.type === 'stream') {
    pipeStream(res, {status, headers}, result.body.stream);
    return;
  }
  const {bytes} = result.body;
  headers[HEADERS.wholeBytes] = String(bytes.length);
  const head = {status, headers, receivedHeaders: result.headers};
  endWithBody(res, head, bytes, budget);
}
