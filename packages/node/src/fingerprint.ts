/** Fingerprints by which repeated sendings of a request are recognized. */
import {createHash} from 'node:crypto';

const DIGEST_CHARS = 24;

/** The parts of a request that are the same whenever it is sent again. */
export interface FingerprintParts {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** Digest of service, method, path and body. The idempotency key is not included, as a caller may reuse it for another request. */
export function fingerprintOf(parts: FingerprintParts): string {
  return createHash('sha256')
    .update(`${parts.service}\0${parts.method}\0${parts.path}\0`)
    .update(parts.body)
    .digest('base64url')
    .slice(0, DIGEST_CHARS);
}
