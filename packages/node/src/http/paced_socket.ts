/** Reads a connection in parts, so that a sender of tiny chunks cannot keep the process busy. */
import type {Socket} from 'node:net';
import type {Retention} from './input_budget';
import type {ReadTurns, WaitingSender} from './read_turns';

/** Part of the input that is handled first, bytes; most heads are shorter. */
const FIRST_PART_BYTES = 2_048;
const MIN_PART_BYTES = 1_024;
/** The most that Node.js reads at once. */
const MAX_PART_BYTES = 65_536;
/** Time that a part may take before the next one waits for its turn, milliseconds. A megabyte in large chunks takes less. */
const MAX_PART_MS = 0.5;

/** Options of paceReads. */
export interface PaceReadsOptions {
  readonly turns: ReadTurns;
  /** Opens the account for input that waits; the connection is closed when it is evicted. */
  readonly retain: (evict: () => void) => Retention;
  /** Whether a request that has been received whole is in progress, so that the connection may not be closed. */
  readonly isInUse: () => boolean;
}

/** A connection that is read in parts. */
export interface PacedReads {
  /** Input that has been read from the system and waits for its turn, bytes. */
  readonly waitingBytes: number;
}

function ignoreData(): void {}

/**
 * Makes the HTTP parser of a server's connection take its input in parts. A
 * part that took long leaves the rest for a later turn; until it has been
 * handled, nothing more is read from the system.
 */
export function paceReads(
  socket: Socket,
  options: PaceReadsOptions,
): PacedReads {
  // Node.js has its parser read from the system directly until there is a listener for data.
  socket.on('data', ignoreData);
  socket.off('data', ignoreData);
  const paced = new PacedSocket(socket, options);
  paced.start();
  return paced;
}

class PacedSocket implements WaitingSender, PacedReads {
  private partBytes = FIRST_PART_BYTES;
  private rest: Buffer | undefined;
  private retention: Retention | undefined;
  private hasEnded = false;
  /** Whether the last part took long, or the next one has to wait for other senders. */
  private isSlow = false;
  private readonly push: Socket['push'];

  constructor(
    private readonly socket: Socket,
    private readonly options: PaceReadsOptions,
  ) {
    this.push = socket.push.bind(socket);
  }

  start(): void {
    const {socket} = this;
    socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
      if (Buffer.isBuffer(chunk)) return this.receive(chunk);
      if (chunk === null && this.rest !== undefined) {
        this.hasEnded = true;
        return false;
      }
      return this.push(chunk, encoding);
    };
    socket.on('close', () => this.drop());
  }

  get waitingBytes(): number {
    return this.rest?.length ?? 0;
  }

  handleSome(): boolean {
    const {socket, rest} = this;
    if (rest === undefined || socket.destroyed) return false;
    if (socket.isPaused()) {
      socket.once('resume', () => this.options.turns.add(this));
      return false;
    }
    this.handlePart(rest);
    return this.rest !== undefined && !socket.destroyed;
  }

  /** Returns whether more may be read. */
  private receive(chunk: Buffer): boolean {
    const {turns, retain} = this.options;
    if (this.rest === undefined && chunk.length <= this.partBytes)
      return this.time(() => this.push(chunk));
    // Readable streams ask for no more data before they have been given some.
    this.rest = this.rest ? Buffer.concat([this.rest, chunk]) : chunk;
    this.retention ??= retain(() => this.closeUnlessInUse());
    const bytes = this.rest.buffer.byteLength;
    if (!this.retention.resize(bytes)) this.closeUnlessInUse();
    if (this.socket.destroyed) return false;
    this.isSlow = turns.isWaiting;
    while (this.rest !== undefined && !this.isSlow && !this.socket.isPaused())
      this.handlePart(this.rest);
    if (this.rest !== undefined) turns.add(this);
    return false;
  }

  private handlePart(rest: Buffer): void {
    const part = rest.subarray(0, this.partBytes);
    if (part.length < rest.length) {
      this.rest = rest.subarray(part.length);
      // The parser listens for data; the stream itself would ask for more if it were given a part.
      this.time(() => this.socket.emit('data', part));
      return;
    }
    this.rest = undefined;
    this.retention?.close();
    this.retention = undefined;
    this.time(() => this.push(part));
    if (this.hasEnded) {
      this.push(null);
      this.socket.read(0);
    }
  }

  /** Handles a part, and makes the next ones larger or smaller by the time that it took. */
  private time<T>(handle: () => T): T {
    const {now} = this.options.turns;
    const startedAt = now();
    const result = handle();
    this.isSlow = now() - startedAt > MAX_PART_MS;
    this.partBytes = this.isSlow
      ? Math.max(MIN_PART_BYTES, this.partBytes / 2)
      : Math.min(MAX_PART_BYTES, this.partBytes * 2);
    return result;
  }

  private closeUnlessInUse(): void {
    if (!this.options.isInUse()) this.socket.destroy();
  }

  private drop(): void {
    this.rest = undefined;
    this.retention?.close();
    this.retention = undefined;
  }
}
