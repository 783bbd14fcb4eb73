/** Digest that tells resends of one request. */
import {createHash} from 'node:crypto';

const DIGEST_CHARS = 24;

/** The parts of a request that a resend repeats. */
export interface FingerprintParts {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

/** Digest of service, method, path and body. A key is not part of it, as one may reuse it wrongly. */
export function fingerprintOf(parts: FingerprintParts): string {
  return createHash('sha256')
    .update(`${parts.service}\0${parts.method}\0${parts.path}\0`)
    .update(parts.body)
    .digest('base64url')
    .slice(0, DIGEST_CHARS);
}
