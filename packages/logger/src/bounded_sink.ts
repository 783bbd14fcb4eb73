/** Writable stream that drops lines instead of waiting for a slow or closed target. */
import {Writable} from 'node:stream';

/**
 * Forwards lines to the target. While the target applies back pressure, up to
 * `maxLines` lines are buffered; further lines are dropped and counted, as are
 * all lines after the target has failed or closed.
 */
export class BoundedSink extends Writable {
  private readonly buffer: string[] = [];
  private awaitingDrain = false;
  private targetClosed = false;
  private droppedLines = 0;

  constructor(
    private readonly target: NodeJS.WritableStream,
    private readonly maxLines: number,
  ) {
    super({decodeStrings: false});
    target.on('drain', () => this.flush());
    target.on('error', () => (this.targetClosed = true));
    target.on('close', () => (this.targetClosed = true));
  }

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.droppedLines;
  }

  override _write(
    chunk: string | Buffer,
    _encoding: BufferEncoding,
    done: (err?: Error) => void,
  ): void {
    this.writeOrBuffer(String(chunk));
    done();
  }

  private writeOrBuffer(line: string): void {
    if (this.targetClosed || this.buffer.length >= this.maxLines) {
      this.droppedLines++;
      return;
    }
    if (this.awaitingDrain) this.buffer.push(line);
    else this.awaitingDrain = !this.target.write(line);
  }

  private flush(): void {
    this.awaitingDrain = false;
    while (!this.awaitingDrain && this.buffer.length > 0) {
      const line = this.buffer.shift();
      if (line !== undefined) this.awaitingDrain = !this.target.write(line);
    }
  }
}
