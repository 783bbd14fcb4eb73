/** Schema and parser of a node's INI settings, with defaults. */
import type {ValidationIssue} from '@goldcresthill/ini-document';
import {
  validateSection,
  fields,
  parseSections,
} from '@goldcresthill/ini-document';
import {MECHANISMS} from '@goldcresthill/types';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import * as z from 'zod';

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const IPV4_ADDRESS = /^(\d{1,3}\.){3}\d{1,3}$/;
const IPV4_ADDRESS_AND_PORT = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const HTTP_URL = /^https?:\/\/[^\s]+$/;

const NAME_DESCRIPTION =
  'a name of letters, digits, dots, dashes or underscores';
const port = () => fields.integer(0, 65_535);

const nodeSchema = z.object({
  id: fields.text(NAME, NAME_DESCRIPTION),
  domain: fields.text(NAME, NAME_DESCRIPTION),
  region: fields.text(NAME, NAME_DESCRIPTION).default('region-1'),
  host: fields.text(IPV4_ADDRESS, 'an IPv4 address').default('127.0.0.1'),
  caller_port: port().default(8_080),
  data_port: port().default(8_081),
  control_port: port().default(8_082),
  operator_port: port().default(8_083),
  // Ports that other nodes connect to, if they differ from the local ones; 0 means the local port.
  advertised_data_port: port().default(0),
  advertised_control_port: port().default(0),
  grace_seconds: fields.integer(0, 3_600).default(30),
});

const platformSchema = z.object({
  url: fields.text(HTTP_URL, 'an http or https URL'),
  calls_per_second: fields.decimal(0.1, 1_000).default(20),
  timeout_ms: fields.integer(10, 60_000).default(1_000),
});

const membershipSchema = z.object({
  peers: fields
    .list(IPV4_ADDRESS_AND_PORT, 'IPv4 addresses with a control port')
    .default([]),
  round_ms: fields.integer(50, 60_000).default(1_000),
  bytes_per_second: fields.integer(500, 1_000_000).default(9_000),
});

const callersSchema = z.object({
  max_connections: fields.integer(1, 100_000).default(4_096),
  header_bytes: fields.integer(1_024, 1_048_576).default(16_384),
  slow_sender_ms: fields.integer(100, 600_000).default(10_000),
  buffered_bytes: fields.integer(1_048_576, 1_073_741_824).default(33_554_432),
});

const keysSchema = z.object({
  retention_hours: fields.integer(1, 8_760).default(24),
});

const logsSchema = z.object({
  level: fields.oneOf(['error', 'warn', 'info', 'debug']).default('info'),
  decision_percent: fields.decimal(0, 100).default(100),
  buffered_lines: fields.integer(1, 1_000_000).default(2_000),
});

const ablationSchema = z.object({
  off: fields.words(MECHANISMS).default([]),
});

const SECTION_SCHEMAS = {
  node: nodeSchema,
  platform: platformSchema,
  membership: membershipSchema,
  callers: callersSchema,
  keys: keysSchema,
  logs: logsSchema,
  ablation: ablationSchema,
};

/** Validated settings by section. */
export type NodeSettings = {
  readonly [Name in keyof typeof SECTION_SCHEMAS]: z.output<
    (typeof SECTION_SCHEMAS)[Name]
  >;
};

/** A minimal valid settings file, also a template for operators. */
export const SETTINGS_EXAMPLE = `[node]
id = vm-1
domain = domain-a
host = 127.0.0.1

[platform]
url = http://127.0.0.1:9000
`;

/** Parses and validates a whole settings file; returns all issues. */
export function parseSettings(
  source: string,
): Result<NodeSettings, ValidationIssue[]> {
  return parseExtendedSettings(source, {});
}

/** Parses and validates a settings file with extra sections in addition to those of every node. */
export function parseExtendedSettings(
  source: string,
  extraSchemas: Readonly<Record<string, z.ZodObject>>,
): Result<NodeSettings, ValidationIssue[]> {
  const schemas: Record<string, z.ZodObject> = {
    ...SECTION_SCHEMAS,
    ...extraSchemas,
  };
  return parseSections(source).andThen(sections => {
    const issues: ValidationIssue[] = [];
    const values: Record<string, unknown> = {};
    for (const name of sections.keys()) {
      if (!Object.hasOwn(schemas, name)) {
        issues.push(createUnknownSectionIssue(name, Object.keys(schemas)));
      }
    }
    for (const [name, schema] of Object.entries(schemas)) {
      const result = validateSection(
        name,
        sections.get(name) ?? new Map(),
        schema,
      );
      if (result.isErr()) issues.push(...result.error);
      else values[name] = result.value;
    }
    return issues.length > 0 ? err(issues) : ok(values as NodeSettings);
  });
}

function createUnknownSectionIssue(
  name: string,
  knownSections: readonly string[],
): ValidationIssue {
  const message = `no such section; there are ${knownSections.join(', ')}`;
  return {section: name, key: '', value: '', message};
}
