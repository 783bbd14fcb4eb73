/** Hands requests on once it is known that their senders are still connected. */
import type {IncomingMessage} from 'node:http';
import {runGuarded} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
import type {Millis} from '@goldcresthill/types';

/** A request that has been received completely. */
export interface ReceivedRequest {
  readonly req: IncomingMessage;
  /** Handles the request. Called at most once. */
  readonly dispatch: () => void;
  /** Called instead of `dispatch` if the sender has disconnected. */
  readonly drop: () => void;
}

/** Options of DispatchQueue. */
export interface DispatchQueueOptions {
  /** Receives the errors of requests; such a request ends with its connection. */
  readonly onFault: FaultListener;
  /** Returns the monotonic time. */
  readonly now?: () => Millis;
}

/** Turns of the event loop in which a request and a close behind it in the same socket are read: Node.js reads one in each. */
const TURNS_TO_READ_CLOSE = 2;
/** Longest time for which one turn dispatches before the sockets are read again, milliseconds. */
const MAX_TURN_MS = 5;
/** Longest time for which connections are accepted before requests are dispatched again, milliseconds. */
const MAX_ACCEPTING_MS = 20;

interface Waiting {
  readonly request: ReceivedRequest;
  /** First turn in which a close that arrived with the request has been read. */
  readonly turn: number;
}

/**
 * Queue between the listeners of a node and its tasks, in order of arrival. A
 * node that is behind finds requests in its sockets whose senders have left; it
 * must not send them on before it has read the close. It reads its sockets
 * again after each few requests, so that what it knows of their senders is recent.
 */
export class DispatchQueue {
  private readonly waiting: Waiting[] = [];
  private turn = 0;
  private isScheduled = false;
  private hasAccepted = false;
  /** Since when each turn has accepted a connection. */
  private acceptingSince: Millis | undefined;
  private closed = false;

  private readonly now: () => Millis;

  constructor(private readonly options: DispatchQueueOptions) {
    this.now = options.now ?? (() => performance.now());
  }

  /** Queues a request. */
  add(request: ReceivedRequest): void {
    this.waiting.push({request, turn: this.turn + TURNS_TO_READ_CLOSE});
    this.schedule();
  }

  /** Records that a listener has accepted a connection. More may wait, as Node.js accepts one in each turn. */
  recordConnection(): void {
    this.hasAccepted = true;
  }

  /** Stops dispatching; requests still queued end with their connections. */
  close(): void {
    this.closed = true;
  }

  private schedule(): void {
    if (this.isScheduled || this.closed) return;
    this.isScheduled = true;
    setImmediate(() => this.onTurn());
  }

  private onTurn(): void {
    this.isScheduled = false;
    if (this.closed) return;
    this.turn++;
    if (this.mayDispatch()) this.dispatch();
    if (this.waiting.length > 0) this.schedule();
  }

  // Requests on connections that are not accepted yet may be older than those that wait here.
  private mayDispatch(): boolean {
    if (this.hasAccepted) this.acceptingSince ??= this.now();
    else this.acceptingSince = undefined;
    this.hasAccepted = false;
    if (this.acceptingSince === undefined) return true;
    if (this.now() - this.acceptingSince <= MAX_ACCEPTING_MS) return false;
    this.acceptingSince = undefined;
    return true;
  }

  private dispatch(): void {
    const endAt = this.now() + MAX_TURN_MS;
    do {
      const [first] = this.waiting;
      if (first === undefined || first.turn > this.turn) break;
      this.waiting.shift();
      this.dispatchOrDrop(first.request);
    } while (this.now() < endAt);
  }

  private dispatchOrDrop({req, dispatch, drop}: ReceivedRequest): void {
    const {socket} = req;
    const isConnected = !socket.destroyed && !socket.readableEnded;
    const onFault = (err: unknown): void => {
      this.options.onFault(err);
      socket.destroy();
    };
    runGuarded(onFault, isConnected ? dispatch : drop);
  }
}
