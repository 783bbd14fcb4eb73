/** HTTP client of a node's operator interface. */
import {option, string} from 'cmd-ts';
import {request} from 'undici';
import {EXIT} from './exit_codes';
import {printError} from './output';

const TIMEOUT_MS = 30_000;

/** Option for the address of the node to send requests to. */
export const nodeOption = option({
  type: string,
  long: 'node',
  short: 'n',
  defaultValue: () => '127.0.0.1:8083',
  defaultValueIsSerializable: true,
  description: 'address and operator port of a node',
});

/** Response of a node; the body is parsed JSON. */
export interface NodeResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Sends a request, POST if there is a body. Exits with `unreachable` if the node does not respond. */
export async function requestNode(
  node: string,
  path: string,
  body?: string,
): Promise<NodeResponse> {
  try {
    const res = await request(`http://${node}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      body,
      headersTimeout: TIMEOUT_MS,
    });
    return {status: res.statusCode, body: await res.body.json()};
  } catch (err) {
    printError(
      `no answer from ${node}: ${err instanceof Error ? err.message : err}`,
    );
    process.exit(EXIT.unreachable);
  }
}
