/** Sink that drops lines rather than wait for a slow or closed stream. */
import {Writable} from 'node:stream';

/**
 * Passes lines on while the target takes them. While it does not, at most
 * `maxLines` are held and the rest is counted and dropped.
 */
export class BoundedSink extends Writable {
  private readonly held: string[] = [];
  private waiting = false;
  private closedTarget = false;
  private lost = 0;

  constructor(
    private readonly target: NodeJS.WritableStream,
    private readonly maxLines: number,
  ) {
    super({decodeStrings: false});
    target.on('drain', () => this.flush());
    target.on('error', () => (this.closedTarget = true));
    target.on('close', () => (this.closedTarget = true));
  }

  /** Lines dropped so far. */
  get dropped(): number {
    return this.lost;
  }

  override _write(
    chunk: string | Buffer,
    _encoding: BufferEncoding,
    done: (err?: Error) => void,
  ): void {
    this.offer(String(chunk));
    done();
  }

  private offer(line: string): void {
    if (this.closedTarget || this.held.length >= this.maxLines) {
      this.lost++;
      return;
    }
    if (this.waiting) this.held.push(line);
    else this.waiting = !this.target.write(line);
  }

  private flush(): void {
    this.waiting = false;
    while (!this.waiting && this.held.length > 0) {
      const line = this.held.shift();
      if (line !== undefined) this.waiting = !this.target.write(line);
    }
  }
}
