/** Collects data that arrives in pieces, at a cost in memory in proportion to its bytes. */

const EMPTY: Buffer = Buffer.alloc(0);
/** Smallest buffer that pieces are copied to, bytes. */
const MIN_CAPACITY = 1_024;
/** Memory of a buffer up to which a piece of it is kept without a copy, bytes. */
const SMALL_MEMORY = 4_096;
/** Received share of a declared length from which the whole length is allocated at once. */
const DECLARED_SHARE = 1 / 16;

/**
 * Keeps a single piece as it is and copies several into one buffer, as each
 * piece is an object of some hundred bytes, and may retain the whole buffer
 * that its socket was read into.
 */
export class GrowingBuffer {
  private buffer: Buffer = EMPTY;
  private length = 0;
  private isOwn = false;

  /** `maxBytes` is the largest length; `declaredBytes` is the length that the sender has declared. */
  constructor(
    private readonly maxBytes: number,
    private readonly declaredBytes?: number,
  ) {}

  get byteLength(): number {
    return this.length;
  }

  /** Memory that the data retains, bytes. */
  get retainedBytes(): number {
    return this.buffer.buffer.byteLength;
  }

  /** Memory that would be retained after the next piece, bytes. */
  retainedWith(piece: Buffer): number {
    if (this.keeps(piece)) return piece.buffer.byteLength;
    return this.capacityFor(this.length + piece.length);
  }

  /** Adds a piece, which the buffer may keep. Throws RangeError if the largest length is exceeded. */
  append(piece: Buffer): void {
    if (this.keeps(piece)) {
      this.buffer = piece;
      this.length = piece.length;
      return;
    }
    const end = this.length + piece.length;
    if (end > this.maxBytes)
      throw new RangeError(`more than ${this.maxBytes} bytes`);
    const capacity = this.capacityFor(end);
    if (!this.isOwn || capacity > this.buffer.length) {
      const larger = Buffer.allocUnsafeSlow(capacity);
      this.buffer.copy(larger, 0, 0, this.length);
      this.buffer = larger;
      this.isOwn = true;
    }
    piece.copy(this.buffer, this.length);
    this.length = end;
  }

  /** All bytes so far, without a copy. */
  bytes(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  /** Gives the memory back; the buffer is not used any more. */
  clear(): void {
    this.buffer = EMPTY;
    this.length = 0;
    this.isOwn = false;
  }

  private keeps(piece: Buffer): boolean {
    if (this.length > 0 || piece.length > this.maxBytes) return false;
    const memory = piece.buffer.byteLength;
    return memory <= SMALL_MEMORY || memory <= 2 * piece.length;
  }

  private capacityFor(bytes: number): number {
    if (this.isOwn && bytes <= this.buffer.length) return this.buffer.length;
    const {declaredBytes = 0} = this;
    if (bytes <= declaredBytes && bytes >= declaredBytes * DECLARED_SHARE)
      return declaredBytes;
    return Math.max(bytes, Math.min(2 * bytes, this.maxBytes), MIN_CAPACITY);
  }
}
