/** Selects the end-to-end headers of a message. */
import type {IncomingHttpHeaders} from 'node:http';

/** Headers in the form that undici and node:http accept. */
export type HeaderMap = Record<string, string | string[]>;

const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);
const BALANCER_PREFIX = 'gh-';

/** Returns the headers to forward: all but hop-by-hop headers, the balancer's own headers and content-length. */
export function endToEndHeaders(headers: IncomingHttpHeaders): HeaderMap {
  const options = connectionOptions(headers.connection);
  const endToEnd: HeaderMap = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name.startsWith(BALANCER_PREFIX) || name === 'content-length') continue;
    if (options !== undefined && options.has(name)) continue;
    endToEnd[name] = value;
  }
  return endToEnd;
}

// RFC 9110, section 7.6.1: headers listed in Connection apply to the next hop only.
function connectionOptions(value: string | undefined): Set<string> | undefined {
  if (value === undefined || value === 'keep-alive' || value === 'close')
    return undefined;
  return new Set(value.split(',').map(name => name.trim().toLowerCase()));
}
