/** Port on which gateways of other nodes reach the gate of this one. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {OwnerAnswer} from '@goldcresthill/attempts';
import {parseAttemptKey} from '@goldcresthill/attempts';
import {BalancerError} from '@goldcresthill/errors';
import {encodeLoadReport, HEADERS} from '@goldcresthill/protocol';
import type {Timers} from '@goldcresthill/timers';
import type {AttemptId} from '@goldcresthill/types';
import {endWithBody, pipeStream} from '../http/answer_body';
import type {BodyBudget} from '../http/request_body';
import {readBody} from '../http/request_body';
import {endToEndHeaders} from '../http/header_filter';
import {Listener} from '../http/listener';
import type {GateTask} from './gate_task';
import type {AttemptRequest, AttemptResult, KeptAnswer} from './messages';

/** What the listener starts from. */
export interface DataListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly incarnation: number;
  readonly timers: Timers;
  readonly gate: GateTask;
  readonly budget: BodyBudget;
  /** What this node's gateway says of a call with a claim token. */
  readonly askKey: (token: string) => {
    answer: OwnerAnswer;
    kept: KeptAnswer | undefined;
  };
  /** Configuration in force as it was read, for nodes that cannot read it themselves. */
  readonly configText?: () => string | undefined;
  /** Records of all nodes, for nodes that have just started. */
  readonly membersText?: () => string;
}

/** Operations besides calls, named by the path. */
export const OPERATIONS = {
  load: '/.gh/load/',
  resolve: '/.gh/resolve',
  acknowledge: '/.gh/acknowledge',
  key: '/.gh/key/',
  config: '/.gh/config',
  members: '/.gh/members',
} as const;

const MAX_BODY_BYTES = 67_108_864;
const BODY_TIMEOUT_MS = 30_000;

/** Turns requests of other gateways into messages to the gate. */
export class DataListener {
  private readonly listener: Listener;

  constructor(private readonly options: DataListenerOptions) {
    const {host, port} = options;
    this.listener = new Listener({
      host,
      port,
      maxHeaderBytes: 65_536,
      handle: (req, res) => this.handle(req, res),
    });
  }

  listen(): Promise<number> {
    return this.listener.listen();
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
    if (attempt !== undefined && !path.startsWith('/.gh/')) {
      this.call(req, res, attempt);
      return;
    }
    const id = attempt === undefined ? undefined : parseAttemptKey(attempt);
    if (path.startsWith(OPERATIONS.load)) this.load(path, res);
    else if (path === OPERATIONS.resolve && id !== undefined)
      this.resolve(id, req, res);
    else if (path === OPERATIONS.acknowledge && id !== undefined) {
      this.options.gate.post({type: 'acknowledge', id});
      res.writeHead(204).end();
    } else if (path.startsWith(OPERATIONS.key)) this.askKey(path, req, res);
    else if (path === OPERATIONS.config)
      writeText(res, this.options.configText?.());
    else if (path === OPERATIONS.members)
      writeText(res, this.options.membersText?.());
    else refuse(res, 'wrongInterface');
  }

  private call(
    req: IncomingMessage,
    res: ServerResponse,
    attempt: string,
  ): void {
    const {budget} = this.options;
    const options = {
      maxBytes: MAX_BODY_BYTES,
      budget,
      timeoutMs: BODY_TIMEOUT_MS,
    };
    readBody(req, options, body => {
      if (body instanceof BalancerError) {
        // The attempt was never registered, so that its gateway has to resolve it.
        res.destroy();
        return;
      }
      // A gateway that has gone has to resolve the attempt, which was never registered.
      if (res.destroyed) {
        budget.release(body.length);
        return;
      }
      res.on('close', () => budget.release(body.length));
      this.post(req, res, body, attempt);
    });
  }

  private post(
    req: IncomingMessage,
    res: ServerResponse,
    body: Buffer,
    attempt: string,
  ): void {
    const once = header(req, HEADERS.once) === '1';
    const id = parseAttemptKey(attempt);
    const service = header(req, HEADERS.service);
    if (service === undefined || id === undefined) {
      refuse(res, 'badHeader');
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
      headers: toServer(req, service),
      body,
      deadline: now + count(req, HEADERS.deadlineMs),
      route: header(req, HEADERS.route) ?? '',
      origin: header(req, HEADERS.origin) ?? '',
      priority: count(req, HEADERS.priority),
      objective: now + count(req, HEADERS.objectiveMs),
      returning: header(req, HEADERS.returning) === '1',
      suspect: header(req, HEADERS.suspect) === '1',
      reply: result => writeResult(res, attempt, result),
    };
    let cancel = (): void => undefined;
    const onHandle = (handle: () => void): void => {
      cancel = handle;
    };
    res.on('close', () => {
      if (!res.writableFinished) cancel();
    });
    this.options.gate.post({type: 'attempt', req: request, onHandle});
  }

  private load(path: string, res: ServerResponse): void {
    const report = this.options.gate.reportOf(
      path.slice(OPERATIONS.load.length),
    );
    if (report === undefined) refuse(res, 'noServer');
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
      answer?: KeptAnswer | undefined;
    }): void => {
      const headers: Record<string, string> = {
        [HEADERS.resolution]: resolution.type,
      };
      if (resolution.kind !== undefined)
        headers[HEADERS.errorKind] = resolution.kind;
      writeKept(res, headers, resolution.answer);
    };
    this.options.gate.post({type: 'resolve', id, gateIncarnation, reply});
  }

  private askKey(
    path: string,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const token = decodeURIComponent(path.slice(OPERATIONS.key.length));
    const asked = Number(header(req, HEADERS.gateIncarnation) ?? 0);
    const same = asked === this.options.incarnation;
    const {answer, kept} = same
      ? this.options.askKey(token)
      : {answer: 'unknown' as const, kept: undefined};
    writeKept(res, {[HEADERS.resolution]: answer}, kept);
  }
}

function header(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Number in a header of another gateway; 0 without one. */
function count(req: IncomingMessage, name: string): number {
  const value = Number(header(req, name) ?? 0);
  return Number.isFinite(value) ? value : 0;
}

function toServer(req: IncomingMessage, service: string) {
  const headers = endToEndHeaders(req.headers);
  headers[HEADERS.service] = service;
  for (const name of [HEADERS.callId, HEADERS.retriesLeft, HEADERS.depth]) {
    const value = header(req, name);
    if (value !== undefined) headers[name] = value;
  }
  return headers;
}

function writeText(res: ServerResponse, text: string | undefined): void {
  if (text === undefined) refuse(res, 'noServer');
  else res.writeHead(200, {'content-type': 'application/json'}).end(text);
}

function refuse(
  res: ServerResponse,
  kind: 'wrongInterface' | 'badHeader' | 'noServer',
): void {
  const {status} = new BalancerError(kind, '').answer;
  res.writeHead(status, {[HEADERS.errorKind]: kind}).end();
}

function writeKept(
  res: ServerResponse,
  headers: Record<string, string>,
  kept: KeptAnswer | undefined,
): void {
  if (kept === undefined) {
    res.writeHead(204, headers).end();
    return;
  }
  const length = String(kept.body.length);
  const own = {
    ...headers,
    'content-length': length,
    [HEADERS.wholeBytes]: length,
  };
  res
    .writeHead(kept.status, {...endToEndHeaders(kept.headers), ...own})
    .end(kept.body);
}

/** Writes how an attempt ended, with its identity so that it cannot be taken for another's. */
function writeResult(
  res: ServerResponse,
  attempt: string,
  result: AttemptResult,
): void {
  if (res.destroyed) {
    if (result.type === 'answered' && result.body.type === 'stream') {
      result.body.stream.destroy();
    }
    return;
  }
  const own: Record<string, string> = {
    [HEADERS.attempt]: attempt,
    [HEADERS.gateUs]: String(result.gateUs),
  };
  if (result.report !== undefined)
    own[HEADERS.load] = encodeLoadReport(result.report);
  if (result.type !== 'answered') {
    own[HEADERS.resolution] = result.type === 'refused' ? 'notRun' : 'unknown';
    own[HEADERS.errorKind] = result.kind;
    res.writeHead(503, own).end();
    return;
  }
  const {status} = result;
  const headers = {...endToEndHeaders(result.headers), ...own};
  if (result.body.type === 'stream') {
    pipeStream(res, {status, headers}, result.body.stream);
    return;
  }
  const {bytes} = result.body;
  headers[HEADERS.wholeBytes] = String(bytes.length);
  endWithBody(res, {status, headers, receivedHeaders: result.headers}, bytes);
}
