/** Validation of addresses that come from other programs. */
import {isIPv4} from 'node:net';

const MAX_PORT = 65_535;

/** Whether a host and port can be connected to. Node.js throws on ports out of range. */
export function isEndpoint(host: string, port: number): boolean {
  return (
    isIPv4(host) && Number.isInteger(port) && port >= 1 && port <= MAX_PORT
  );
}
