/** Output of a faulty server that does not end. */
import type {Writable} from 'node:stream';

/** Writes as fast as the other end reads, until the stream is closed. */
export function writeEndlessly(stream: Writable, text: string): void {
  while (!stream.destroyed && stream.write(text)) {
    // Continues until the buffer is full.
  }
  if (!stream.destroyed)
    stream.once('drain', () => writeEndlessly(stream, text));
}
