/** `goldcresthill explain`: what was decided for a recent call and why. */
import {command, flag, positional, string} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {askNode, nodeOption} from '../../node_client';
import {print, printError} from '../../output';

export const explainCommand = command({
  name: 'explain',
  description: 'Show what the node that took a call decided for it.',
  args: {
    callId: positional({
      type: string,
      displayName: 'CALL-ID',
      description: 'header gh-call-id of the answer',
    }),
    node: nodeOption,
    asJson: flag({long: 'json', description: 'print JSON'}),
  },
  handler: async ({callId, node, asJson}) => {
    const answer = await askNode(
      node,
      `/explain/${encodeURIComponent(callId)}`,
    );
    if (answer.status !== 200) {
      printError(`call ${callId} is not remembered by this node`);
      process.exit(EXIT.unreachable);
    }
    const {decisions} = answer.body as {
      decisions: Array<Record<string, unknown>>;
    };
    if (asJson) return print(JSON.stringify(answer.body));
    decisions.forEach(decision => print(describe(decision)));
  },
});

function describe(decision: Record<string, unknown>): string {
  const {what, reason, server, attempt, ...rest} = decision;
  const place = server === undefined ? '' : ` ${server}`;
  const number = attempt === undefined ? '' : ` (attempt ${attempt})`;
  return `${what}${place}${number}: ${reason} ${JSON.stringify(rest)}`;
}
