/** Hands requests on once it is known that their senders are still connected. */
import type {IncomingMessage} from 'node:http';

/** A request that has been received completely. */
export interface ReceivedRequest {
  readonly req: IncomingMessage;
  /** Handles the request. Called at most once. */
  readonly dispatch: () => void;
  /** Called instead of `dispatch` if the sender has disconnected. */
  readonly drop: () => void;
}

/** Turns of the event loop in which a request and a close behind it in the same socket are read: Node.js reads one in each. */
const TURNS_TO_READ_CLOSE = 2;
/** Longest time for which one turn dispatches before the sockets are read again, milliseconds. */
const MAX_TURN_MS = 5;

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
  private closed = false;

  /** Queues a request. */
  add(request: ReceivedRequest): void {
    this.waiting.push({request, turn: this.turn + TURNS_TO_READ_CLOSE});
    this.schedule();
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
    const endAt = performance.now() + MAX_TURN_MS;
    do {
      const [first] = this.waiting;
      if (first === undefined || first.turn > this.turn) break;
      this.waiting.shift();
      this.dispatchOrDrop(first.request);
    } while (performance.now() < endAt);
    if (this.waiting.length > 0) this.schedule();
  }

  private dispatchOrDrop({req, dispatch, drop}: ReceivedRequest): void {
    const {socket} = req;
    const isConnected = !socket.destroyed && !socket.readableEnded;
    if (isConnected) dispatch();
    else drop();
  }
}
