/** Operator port: announcements of servers, tickets, status, metrics and explanations of calls. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {BalancerError} from '@goldcresthill/errors';
import type {ErrorKind, FaultListener} from '@goldcresthill/errors';
import {formatIssues} from '@goldcresthill/ini-document';
import {HEADERS} from '@goldcresthill/protocol';
import {parseTicket} from '@goldcresthill/tickets';
import type {Configuration, Ticket, TicketAnswer} from '@goldcresthill/tickets';
import * as z from 'zod';
import type {Announcement} from '../gate/messages';
import type {InputBudget} from '../http/input_budget';
import {decodePathSegment, Listener, readText} from '../http/listener';

export interface OperatorListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly onAnnouncement: (announcement: Announcement) => void;
  readonly onTicket: (
    ticket: Ticket,
    reply: (answer: TicketAnswer) => void,
  ) => void;
  readonly status: () => unknown;
  readonly configuration: () => Configuration;
  readonly metrics: () => string;
  readonly explain: (callId: string) => unknown;
  readonly budget: InputBudget;
  readonly onFault: FaultListener;
}

const MAX_TICKET_BYTES = 1_048_576;
const LOOPBACK_ADDRESSES = new Set(['127.0.0.1', '::1', '::ffff:127.0.0.1']);

const ANNOUNCEMENT_SCHEMA = z.object({
  service: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  port: z.number().int().min(1).max(65_535),
  slots: z.number().int().min(1).max(100_000),
  instance: z.string().min(1).max(128),
  state: z.enum(['up', 'draining', 'down']).default('up'),
});

/** HTTP interface for operators and for the servers of this VM. */
export class OperatorListener {
  private readonly listener: Listener;

  constructor(private readonly options: OperatorListenerOptions) {
    this.listener = new Listener({
      host: options.host,
      port: options.port,
      maxConnections: 256,
      budget: options.budget,
      onFault: options.onFault,
      handle: (req, res) =>
        this.handle(req, res).catch(err => writeError(res, err)),
    });
  }

  listen(): Promise<number> {
    return this.listener.listen();
  }

  close(): Promise<void> {
    return this.listener.close();
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const path = (req.url ?? '/').split('?')[0] ?? '/';
    const route = `${req.method} ${path.startsWith('/explain/') ? '/explain' : path}`;
    switch (route) {
      case 'POST /announce':
        return this.announce(req, res);
      case 'POST /tickets':
        return this.submit(req, res);
      case 'GET /tickets':
        return writeJson(res, 200, this.options.configuration());
      case 'GET /status':
        return writeJson(res, 200, this.options.status());
      case 'GET /explain':
        return this.explain(path, res);
      case 'GET /metrics':
        res.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
        res.end(this.options.metrics());
        return;
      default:
        throw new BalancerError(
          'wrongInterface',
          `no such operation: ${route}`,
        );
    }
  }

  private async announce(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (!LOOPBACK_ADDRESSES.has(req.socket.remoteAddress ?? '')) {
      throw new BalancerError(
        'wrongInterface',
        'announcements are accepted only from loopback addresses',
      );
    }
    const parsed = ANNOUNCEMENT_SCHEMA.safeParse(
      parseJson(await readText(req, 4_096, this.options.budget)),
    );
    if (!parsed.success) {
      throw new BalancerError(
        'malformedRequest',
        z.prettifyError(parsed.error),
      );
    }
    this.options.onAnnouncement(parsed.data);
    res.writeHead(204).end();
  }

  private async submit(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const ticket = parseTicket(
      await readText(req, MAX_TICKET_BYTES, this.options.budget),
    );
    if (ticket.isErr()) {
      throw new BalancerError('badTicket', formatIssues(ticket.error));
    }
    const answer = await new Promise<TicketAnswer>(reply =>
      this.options.onTicket(ticket.value, reply),
    );
    writeJson(res, statusFor(answer), {number: ticket.value.number, ...answer});
  }

  private explain(path: string, res: ServerResponse): void {
    const callId = decodePathSegment(path.slice('/explain/'.length));
    if (callId === undefined)
      throw new BalancerError('malformedRequest', 'call id is not valid UTF-8');
    const decisions = this.options.explain(callId);
    writeJson(res, decisions === undefined ? 404 : 200, {
      callId,
      decisions: decisions ?? [],
    });
  }
}

function statusFor(answer: TicketAnswer): number {
  switch (answer.type) {
    case 'accepted':
    case 'already':
      return 200;
    case 'refused':
    case 'undetermined':
      return new BalancerError(answer.kind, '').answer.status;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new BalancerError(
      'malformedRequest',
      'request body is not valid JSON',
    );
  }
}

function writeError(res: ServerResponse, err: unknown): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const known = err instanceof BalancerError;
  const kind: ErrorKind = known ? err.kind : 'malformedRequest';
  const {status} = new BalancerError(kind, '').answer;
  res.setHeader(HEADERS.errorKind, kind);
  writeJson(res, status, {
    kind,
    detail: err instanceof Error ? err.message : String(err),
  });
}

function writeJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}
