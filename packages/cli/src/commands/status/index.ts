/** `goldcresthill status`: the state of the fleet from the view of one node. */
import type {NodeStatus} from '@goldcresthill/node';
import {command, flag} from 'cmd-ts';
import {requestNode, nodeOption} from '../../node_client';
import {formatTable, print} from '../../output';

export const statusCommand = command({
  name: 'status',
  description: 'Show the state of the fleet from the view of one node.',
  args: {
    node: nodeOption,
    asJson: flag({long: 'json', description: 'print JSON'}),
  },
  handler: async ({node, asJson}) => {
    const {body} = await requestNode(node, '/status');
    if (asJson) print(JSON.stringify(body));
    else printStatus(body as NodeStatus);
  },
});

function printStatus(status: NodeStatus): void {
  const {checked, broken} = status.invariants;
  const age = Math.round(status.configAgeMs / 1_000);
  print(`node ${status.node}, ${status.state}`);
  print(
    `configuration revision ${status.configRevision}, in force for ${age} s`,
  );
  print(`invariants: ${checked} checked, ${broken} broken`);
  if (status.cutDomains.length > 0)
    print(`cut off: ${status.cutDomains.join(', ')}`);
  if (status.quarantined.length > 0)
    print(`quarantined: ${status.quarantined.join(', ')}`);
  const members = status.members.map(m => [
    m.nodeId,
    m.domain,
    m.status,
    m.servers.join(' '),
  ]);
  print(`\n${formatTable(['NODE', 'DOMAIN', 'STATUS', 'SERVERS'], members)}`);
  const servers = status.servers.map(s => [
    s.id,
    s.state,
    String(s.own),
    s.report === undefined
      ? '-'
      : `${s.report.inFlight}+${s.report.queued}/${s.report.limit}`,
    s.report === undefined ? '-' : (s.report.serviceUs / 1_000).toFixed(1),
    s.setAside ?? '',
  ]);
  const columns = [
    'SERVER',
    'STATE',
    'OWN',
    'IN FLIGHT+QUEUE/LIMIT',
    'SERVICE MS',
    'SET ASIDE',
  ];
  print(`\n${formatTable(columns, servers)}`);
}
