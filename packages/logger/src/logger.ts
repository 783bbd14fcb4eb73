/** Logger of a node, based on winston. */
import winston from 'winston';
import {BoundedSink} from './bounded_sink';

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Fields of a log line by name. They must not contain cycles. */
export type LogFields = Readonly<Record<string, unknown>>;

export interface LoggerOptions {
  readonly node: string;
  readonly level?: LogLevel;
  /** Share of decisions that are logged, percent. */
  readonly decisionPercent?: number;
  readonly bufferedLines?: number;
  readonly stream?: NodeJS.WritableStream;
  readonly random?: () => number;
}

const PERCENT = 100;
const DEFAULT_BUFFERED_LINES = 2_000;
/** Decisions written per turn of the event loop. */
const DECISIONS_PER_TURN = 64;

const WINSTON_MESSAGE = Symbol.for('message');

// winston's own JSON format also checks for cycles, which plain fields do not have.
const jsonLine = winston.format(info => {
  const timestamp = new Date().toISOString();
  info[WINSTON_MESSAGE] = JSON.stringify({timestamp, ...info});
  return info;
});

/** Writes JSON lines. Decisions are queued and written in later turns of the event loop, so that they do not delay calls. */
export class Logger {
  private readonly winston: winston.Logger;
  private readonly sink: BoundedSink;
  private decisionPercent: number;
  private readonly maxQueuedDecisions: number;
  private readonly random: () => number;
  private queuedDecisions: LogFields[] = [];
  private flushScheduled = false;
  private droppedDecisions = 0;

  constructor(options: LoggerOptions) {
    this.maxQueuedDecisions = options.bufferedLines ?? DEFAULT_BUFFERED_LINES;
    this.sink = new BoundedSink(
      options.stream ?? process.stdout,
      this.maxQueuedDecisions,
    );
    this.decisionPercent = options.decisionPercent ?? PERCENT;
    this.random = options.random ?? Math.random;
    this.winston = winston.createLogger({
      level: options.level ?? 'info',
      defaultMeta: {node: options.node},
      format: jsonLine(),
      transports: [new winston.transports.Stream({stream: this.sink})],
    });
  }

  error(event: string, fields: LogFields = {}): void {
    this.winston.error(event, fields);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.winston.warn(event, fields);
  }

  info(event: string, fields: LogFields = {}): void {
    this.winston.info(event, fields);
  }

  debug(event: string, fields: LogFields = {}): void {
    this.winston.debug(event, fields);
  }

  /** Changes the level and the share of decisions that are logged. */
  configure(level: LogLevel, decisionPercent: number): void {
    this.winston.level = level;
    this.decisionPercent = decisionPercent;
  }

  /** Whether the decisions of the next call are to be logged. */
  sampleDecision(): boolean {
    if (this.decisionPercent >= PERCENT) return true;
    return this.random() * PERCENT < this.decisionPercent;
  }

  /** Queues a routing or placement decision with its reason; drops it if the queue is full. */
  decision(fields: LogFields): void {
    if (this.queuedDecisions.length >= this.maxQueuedDecisions) {
      this.droppedDecisions++;
      return;
    }
    this.queuedDecisions.push(fields);
    this.scheduleFlush();
  }

  /** Number of lines dropped because the stream was slow or closed, or the decision queue full. */
  get linesDropped(): number {
    return this.sink.dropped + this.droppedDecisions;
  }

  /** Writes all queued decisions and closes the logger. */
  close(): void {
    this.queuedDecisions.forEach(fields =>
      this.winston.info('decision', fields),
    );
    this.queuedDecisions = [];
    this.winston.close();
  }

  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => this.flushBatch());
  }

  private flushBatch(): void {
    this.flushScheduled = false;
    const lines = this.queuedDecisions.splice(0, DECISIONS_PER_TURN);
    lines.forEach(fields => this.winston.info('decision', fields));
    if (this.queuedDecisions.length > 0) this.scheduleFlush();
  }
}
