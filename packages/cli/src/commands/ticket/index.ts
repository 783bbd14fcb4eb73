/** `goldcresthill ticket`: checks and submits change tickets. */
import {formatIssues} from '@goldcresthill/ini-document';
import {
  formatRules,
  parseConfiguration,
  parseTicket,
} from '@goldcresthill/tickets';
import type {Configuration, Ticket} from '@goldcresthill/tickets';
import {command, flag, positional, string, subcommands} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {readInput} from '../../input';
import {requestNode, nodeOption} from '../../node_client';
import {formatTable, print, printError} from '../../output';

const file = positional({type: string, displayName: 'FILE'});
const asJson = flag({long: 'json', description: 'print JSON'});

function readTicket(path: string): {source: string; ticket: Ticket} {
  const source = readInput(path);
  const ticket = parseTicket(source);
  if (ticket.isErr()) {
    printError(formatIssues(ticket.error));
    process.exit(EXIT.refused);
  }
  return {source, ticket: ticket.value};
}

async function readConfiguration(node: string): Promise<Configuration> {
  const response = await requestNode(node, '/tickets');
  const parsed = parseConfiguration(JSON.stringify(response.body));
  if (parsed.isErr()) {
    printError(parsed.error);
    process.exit(EXIT.unreachable);
  }
  return parsed.value;
}

const check = command({
  name: 'check',
  description: 'Check a ticket without submitting it.',
  args: {file},
  handler: args => {
    const {ticket} = readTicket(args.file);
    print(
      `ticket ${ticket.number} is valid: ${[...ticket.services.keys()].join(', ')}`,
    );
  },
});

const submit = command({
  name: 'submit',
  description: 'Submit a ticket and wait for its outcome.',
  args: {file, node: nodeOption, asJson},
  handler: async args => {
    const {source} = readTicket(args.file);
    const response = await requestNode(args.node, '/tickets', source);
    const body = response.body as Record<string, unknown>;
    print(args.asJson ? JSON.stringify(body) : formatOutcome(body));
    process.exitCode = exitCodeFor(String(body['type'] ?? ''));
  },
});

const status = command({
  name: 'status',
  description: 'Show which ticket is in force for each service.',
  args: {node: nodeOption, asJson},
  handler: async args => {
    const configuration = await readConfiguration(args.node);
    if (args.asJson) return print(JSON.stringify(configuration));
    print(`revision ${configuration.revision}`);
    const rows = Object.entries(configuration.services).map(([name, entry]) => [
      name,
      String(entry.ticket),
      entry.rules === undefined ? 'removed' : entry.rules.policy,
    ]);
    print(formatTable(['SERVICE', 'TICKET', 'POLICY'], rows));
  },
});

const show = command({
  name: 'show',
  description:
    'Print the rules in force for a service in the format of a ticket.',
  args: {
    service: positional({type: string, displayName: 'SERVICE'}),
    node: nodeOption,
  },
  handler: async args => {
    const configuration = await readConfiguration(args.node);
    const entry = configuration.services[args.service];
    if (entry === undefined) {
      printError(`no service ${args.service}`);
      process.exit(EXIT.unreachable);
    }
    const rules =
      entry.rules === undefined ? 'remove = true' : formatRules(entry.rules);
    print(
      `# set by ticket ${entry.ticket}\n[service ${args.service}]\n${rules}`,
    );
  },
});

function formatOutcome(body: Record<string, unknown>): string {
  const number = body['number'];
  switch (body['type']) {
    case 'accepted':
      return `ticket ${number} accepted as revision ${body['revision']}`;
    case 'already':
      return `ticket ${number} was already accepted; revision ${body['revision']} is in force`;
    case 'refused':
      return `ticket ${number} refused (${body['kind']}): ticket ${body['inForce']} is in force for ${body['service']}`;
    case 'undetermined':
      return `ticket ${number} is undetermined (${body['kind']}): submit it again to determine its outcome`;
    default:
      return String(body['detail'] ?? JSON.stringify(body));
  }
}

function exitCodeFor(type: string): number {
  if (type === 'accepted' || type === 'already') return EXIT.ok;
  return type === 'undetermined' ? EXIT.undetermined : EXIT.refused;
}

export const ticketCommand = subcommands({
  name: 'ticket',
  description: 'Change tickets.',
  examples: [
    {
      description: 'Check a ticket',
      command: 'goldcresthill ticket check 17.ini',
    },
    {
      description: 'Submit it to a specific node',
      command: 'goldcresthill ticket submit 17.ini --node 127.0.0.1:8083',
    },
  ],
  cmds: {check, submit, status, show},
});
