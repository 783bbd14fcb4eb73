/** Sink that drops lines rather than wait for a slow or closed stream. */
import {Writable} from 'node:stream';

/**
 * Passes lines on while the target takes them. While it does not, at most
 * `maxLines` are held and the rest is counted and dropped.
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

  /** Lines dropped so far. */
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
