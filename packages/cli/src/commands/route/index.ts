/** `goldcresthill route`: where a request would go now, and why. */
import {command, flag, number, option, string} from 'cmd-ts';
import type {ChoiceExplanation} from '@goldcresthill/node';
import {EXIT} from '../../exit_codes';
import {requestNode} from '../../node_client';
import {formatTable, print, printError} from '../../output';

/** Answer of a node to the question. */
interface RouteExplanation {
  readonly error?: string;
  readonly refusal?: {readonly kind: string; readonly status: number};
  readonly route?: {
    readonly name: string;
    readonly pathPrefix: string;
    readonly priority: number;
    readonly timeoutMs: number;
    readonly objectiveMs: number;
  };
  readonly choices?: ReadonlyArray<
    ChoiceExplanation & {readonly sharePercent: number}
  >;
}

const MICROS_PER_MILLI = 1_000;
const OK = 200;

export const routeCommand = command({
  name: 'route',
  description:
    'Explain where a node would send a request now, without sending it.',
  args: {
    node: option({
      type: string,
      long: 'node',
      short: 'n',
      defaultValue: () => '127.0.0.1:9464',
      defaultValueIsSerializable: true,
      description: 'address and metrics port of a node on the platform',
    }),
    host: option({type: string, long: 'host'}),
    path: option({type: string, long: 'path'}),
    method: option({
      type: string,
      long: 'method',
      defaultValue: () => 'GET',
    }),
    bytes: option({
      type: number,
      long: 'bytes',
      defaultValue: () => 0,
      description: 'size of the request body',
    }),
    asJson: flag({long: 'json', description: 'print JSON'}),
  },
  handler: async ({node, host, path, method, bytes, asJson}) => {
    const question = {host, path, method, bytes: String(bytes)};
    const query = new URLSearchParams(question).toString();
    const {status, body} = await requestNode(node, `/route?${query}`);
    const explanation = body as RouteExplanation;
    if (status !== OK) {
      printError(explanation.error ?? `the node answered ${status}`);
      process.exitCode = EXIT.usage;
      return;
    }
    if (asJson) print(JSON.stringify(body));
    else printExplanation(explanation);
  },
});

function printExplanation({refusal, route, choices = []}: RouteExplanation) {
  if (refusal !== undefined) {
    print(`refused: ${refusal.kind} (${refusal.status})`);
    return;
  }
  if (route !== undefined)
    print(
      `route ${route.name} at ${route.pathPrefix}, priority ${route.priority}, ` +
        `objective ${route.objectiveMs} ms, timeout ${route.timeoutMs} ms`,
    );
  choices.forEach(printChoice);
}

function printChoice(
  choice: ChoiceExplanation & {readonly sharePercent: number},
): void {
  const {service, sharePercent, server, refusal, reason, domain} = choice;
  const target =
    server === undefined
      ? `refused: ${refusal}`
      : `${server} (${[reason, domain].filter(Boolean).join('; ')})`;
  print(
    `\nservice ${service}, ${sharePercent.toFixed(0)}% of calls: ${target}`,
  );
  const rows = choice.servers.map(s => [
    s.id,
    s.domain,
    s.verdict,
    s.expectedUs === undefined
      ? '-'
      : (s.expectedUs / MICROS_PER_MILLI).toFixed(1),
    s.inFlight === undefined ? '-' : `${s.inFlight}+${s.queued}/${s.limit}`,
    s.slowdown?.toFixed(1) ?? '-',
    String(s.reportAgeMs ?? '-'),
  ]);
  const columns = [
    'SERVER',
    'DOMAIN',
    'VERDICT',
    'EXPECTED MS',
    'IN FLIGHT+QUEUE/LIMIT',
    'SLOWDOWN',
    'REPORT AGE MS',
  ];
  print(formatTable(columns, rows));
}
