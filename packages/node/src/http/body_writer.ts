/** Writes long bodies at the pace of their readers. */
import type {ServerResponse} from 'node:http';
import type {InputBudget, Retention} from './input_budget';

/** Event of a response whose body is complete and waits for its reader. */
export const READER_AWAITED = 'readerAwaited';

/** Size of the parts in which a body is written, so that it shows whether its reader takes it, bytes. */
const PART_BYTES = 65_536;

/** Ends a response with a complete body. What waits for the reader is accounted to the budget; a reader that has to give way loses its connection. */
export function endAtReaderPace(
  res: ServerResponse,
  bytes: Buffer,
  budget?: InputBudget,
): void {
  if (bytes.length <= PART_BYTES) res.end(bytes);
  else new BodyWriter(res, bytes, budget).writeParts();
}

class BodyWriter {
  private offset = 0;
  private retention: Retention | undefined;

  constructor(
    private readonly res: ServerResponse,
    private readonly bytes: Buffer,
    private readonly budget: InputBudget | undefined,
  ) {}

  writeParts(): void {
    const {res, bytes} = this;
    this.retention?.recordProgress();
    while (this.offset + PART_BYTES < bytes.length) {
      const part = bytes.subarray(this.offset, this.offset + PART_BYTES);
      this.offset += PART_BYTES;
      if (!res.write(part)) {
        this.awaitReader();
        return;
      }
    }
    res.end(bytes.subarray(this.offset));
  }

  // What the system takes at once has been drained before the next turn of the event loop.
  private awaitReader(): void {
    const accounting = setImmediate(() => this.account());
    this.res.once('drain', () => {
      clearImmediate(accounting);
      this.writeParts();
    });
  }

  private account(): void {
    const {res, bytes, budget} = this;
    if (res.destroyed) return;
    res.emit(READER_AWAITED);
    if (budget === undefined || this.retention !== undefined) return;
    const retention = budget.retain(() => res.destroy());
    this.retention = retention;
    res.once('close', () => retention.close());
    if (!retention.resize(bytes.length)) res.destroy();
  }
}
