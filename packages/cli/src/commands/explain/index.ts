/** `goldcresthill explain`: prints the decisions made for a call and their reasons. */
import {array, command, flag, multioption, positional, string} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {readInput} from '../../input';
import {requestNode, nodeOption} from '../../node_client';
import {print, printError} from '../../output';
import {elapsedMs, findDecisions} from './log_search';

export const explainCommand = command({
  name: 'explain',
  description:
    'Show the decisions made for a call, from a live node or from logs.',
  args: {
    callId: positional({
      type: string,
      displayName: 'CALL-ID',
      description:
        'header gh-call-id of the response; on the platform the id that the client sent',
    }),
    node: nodeOption,
    logs: multioption({
      type: array(string),
      long: 'log',
      description:
        'file with log lines of any nodes; - reads standard input; may be repeated',
    }),
    asJson: flag({long: 'json', description: 'print JSON'}),
  },
  handler: async ({callId, node, logs, asJson}) => {
    if (logs.length > 0) explainFromLogs(callId, logs, asJson);
    else await explainFromNode(callId, node, asJson);
  },
});

function explainFromLogs(
  callId: string,
  logs: readonly string[],
  asJson: boolean,
): void {
  const decisions = findDecisions(logs.map(readInput).join('\n'), callId);
  const [first] = decisions;
  if (first === undefined) {
    printError(`no decision for call ${callId} in these logs`);
    process.exit(EXIT.unreachable);
  }
  if (asJson) return print(JSON.stringify({callId, decisions}));
  for (const decision of decisions) {
    const {node, fields} = decision;
    print(
      `+${elapsedMs(first, decision)} ms ${node}: ${formatDecision(fields)}`,
    );
  }
}

async function explainFromNode(
  callId: string,
  node: string,
  asJson: boolean,
): Promise<void> {
  const response = await requestNode(
    node,
    `/explain/${encodeURIComponent(callId)}`,
  );
  if (response.status !== 200) {
    printError(`this node has no decisions for call ${callId}`);
    process.exit(EXIT.unreachable);
  }
  const {decisions} = response.body as {
    decisions: Array<Record<string, unknown>>;
  };
  if (asJson) return print(JSON.stringify(response.body));
  decisions.forEach(decision => print(formatDecision(decision)));
}

function formatDecision(decision: Readonly<Record<string, unknown>>): string {
  const {what, reason, server, attempt, ...rest} = decision;
  const serverText = server === undefined ? '' : ` ${server}`;
  const attemptText = attempt === undefined ? '' : ` (attempt ${attempt})`;
  const reasonText = reason === undefined ? '' : ` ${reason}`;
  return `${what}${serverText}${attemptText}:${reasonText} ${JSON.stringify(rest)}`;
}
