/** Parser of ticket files: a number and the complete new rules of each service that the ticket changes. */
import {createHash} from 'node:crypto';
import type {ValidationIssue} from '@goldcresthill/ini-document';
import {
  fields,
  parseSections,
  validateSection,
} from '@goldcresthill/ini-document';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import type {ServiceRules} from '@goldcresthill/types';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import * as z from 'zod';

/** A validated ticket. A service that it removes has no rules. */
export interface Ticket {
  readonly number: number;
  readonly note: string;
  readonly services: ReadonlyMap<string, ServiceRules | undefined>;
  /** Digest of the validated content; equal if the same ticket is submitted again. */
  readonly digest: string;
}

const SERVICE_SECTION = /^service ([a-z0-9][a-z0-9-]{0,62})$/;
const METHOD = /^[A-Z]{1,16}$/;
const PATH_PREFIX = /^\/[^\s,]{0,255}$/;
const NODE_NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const MAX_SERVICES = 200;
const DIGEST_HEX_DIGITS = 16;
const DEFAULTS = DEFAULT_SERVICE_RULES;

const HEADER_SCHEMA = z.object({
  number: fields.integer(1, 1_000_000_000),
  note: fields.text(/^.{0,200}$/, 'at most 200 characters').default(''),
});

const SERVICE_SCHEMA = z.object({
  remove: fields.boolean().default(false),
  policy: fields
    .oneOf([
      'expectedTime',
      'random',
      'roundRobin',
      'leastReported',
      'powerOfTwo',
    ])
    .default(DEFAULTS.policy),
  deadline_ms: fields.integer(1, 600_000).default(DEFAULTS.deadlineMs),
  max_deadline_ms: fields.integer(1, 600_000).default(DEFAULTS.maxDeadlineMs),
  repeatable_methods: fields
    .list(METHOD, 'methods in capitals')
    .default([...DEFAULTS.repeatableMethods]),
  repeatable_paths: fields.list(PATH_PREFIX, 'path prefixes').default([]),
  once_paths: fields.list(PATH_PREFIX, 'path prefixes').default([]),
  max_retries: fields.integer(0, 10).default(DEFAULTS.maxRetries),
  retry_percent: fields.decimal(0, 100).default(DEFAULTS.retryPercent),
  retry_burst: fields.integer(0, 10_000).default(DEFAULTS.retryBurst),
  retry_pool: fields.integer(0, 1_000_000).default(DEFAULTS.retryPool),
  retry_window_ms: fields
    .integer(1_000, 600_000)
    .default(DEFAULTS.retryWindowMs),
  hedge_percent: fields.decimal(0, 50).default(DEFAULTS.hedgePercent),
  hedge_quantile: fields.decimal(50, 99.9).default(DEFAULTS.hedgeQuantile),
  probes_per_second: fields
    .decimal(0, 10_000)
    .default(DEFAULTS.probesPerSecond),
  probe_percent: fields.decimal(0, 500).default(DEFAULTS.probePercent),
  probe_bytes_per_second: fields
    .integer(0, 10_000_000)
    .default(DEFAULTS.probeBytesPerSecond),
  crossing_cost_percent: fields
    .decimal(0, 100)
    .default(DEFAULTS.crossingCostPercent),
  cross_domain_percent: fields
    .decimal(0, 1_000)
    .default(DEFAULTS.crossDomainPercent),
  queue_per_slot: fields.decimal(0, 100).default(DEFAULTS.queuePerSlot),
  max_slots: fields.integer(1, 10_000).default(DEFAULTS.maxSlots),
  slot_percent: fields.decimal(1, 100).default(DEFAULTS.slotPercent),
  load_path: fields
    .text(/^(\/\S{0,255})?$/, 'a path')
    .default(DEFAULTS.loadPath),
  load_checks_per_second: fields
    .decimal(0, 1_000)
    .default(DEFAULTS.loadChecksPerSecond),
  warm_up_ms: fields.integer(0, 600_000).default(DEFAULTS.warmUpMs),
  max_request_bytes: fields
    .integer(0, 67_108_864)
    .default(DEFAULTS.maxRequestBytes),
  max_buffered_bytes: fields
    .integer(1_024, 67_108_864)
    .default(DEFAULTS.maxBufferedBytes),
  shed_statuses: fields.integerList(400, 599).default([]),
  subset_size: fields.integer(0, 1_000).default(DEFAULTS.subsetSize),
  silence_ms: fields.integer(10, 60_000).default(DEFAULTS.silenceMs),
  quarantine_seconds: fields
    .integer(1, 86_400)
    .default(DEFAULTS.quarantineSeconds),
  drain_nodes: fields.list(NODE_NAME, 'node names').default([]),
});

type ServiceSection = z.output<typeof SERVICE_SCHEMA>;

/** Parses and validates a ticket. A ticket with a fault is rejected as a whole; the error lists the faults. */
export function parseTicket(source: string): Result<Ticket, ValidationIssue[]> {
  return parseSections(source).andThen(sections => {
    const header = validateSection(
      'ticket',
      sections.get('ticket') ?? new Map(),
      HEADER_SCHEMA,
    );
    const faults: ValidationIssue[] = header.isErr() ? [...header.error] : [];
    const services = new Map<string, ServiceRules | undefined>();
    for (const [name, body] of sections) {
      if (name !== 'ticket') parseService(name, body, services, faults);
    }
    faults.push(...serviceCountFaults(services.size, faults.length));
    if (faults.length > 0 || header.isErr()) return err(faults);
    const {number, note} = header.value;
    return ok({
      number,
      note,
      services,
      digest: contentDigest(number, services),
    });
  });
}

/** Formats rules as the keys of a service section of a ticket. */
export function formatRules(rules: ServiceRules): string {
  return Object.entries(rules)
    .map(([key, value]) => `${snakeCase(key)} = ${formatValue(value)}`)
    .join('\n');
}

function parseService(
  section: string,
  body: ReadonlyMap<string, string>,
  services: Map<string, ServiceRules | undefined>,
  faults: ValidationIssue[],
): void {
  const name = SERVICE_SECTION.exec(section)?.[1];
  if (name === undefined) {
    const allowed =
      'a section [ticket] or [service NAME], the name in lower case';
    faults.push({section, key: '', value: '', message: allowed});
    return;
  }
  const checked = validateSection(section, body, SERVICE_SCHEMA);
  if (checked.isErr()) {
    faults.push(...checked.error);
    return;
  }
  if (checked.value.deadline_ms > checked.value.max_deadline_ms) {
    const value = String(checked.value.deadline_ms);
    faults.push({
      section,
      key: 'deadline_ms',
      value,
      message: 'at most max_deadline_ms',
    });
  }
  services.set(name, checked.value.remove ? undefined : toRules(checked.value));
}

function serviceCountFaults(
  serviceCount: number,
  otherFaults: number,
): ValidationIssue[] {
  if ((serviceCount > 0 || otherFaults > 0) && serviceCount <= MAX_SERVICES)
    return [];
  const allowed = `1 to ${MAX_SERVICES} sections [service NAME]`;
  return [
    {section: 'ticket', key: '', value: String(serviceCount), message: allowed},
  ];
}

function toRules(section: ServiceSection): ServiceRules {
  const rules: Record<string, unknown> = {};
  for (const key of Object.keys(DEFAULT_SERVICE_RULES)) {
    rules[key] = (section as Record<string, unknown>)[snakeCase(key)];
  }
  return rules as unknown as ServiceRules;
}

function snakeCase(key: string): string {
  return key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

function formatValue(value: unknown): string {
  return Array.isArray(value) ? value.join(', ') : String(value);
}

function contentDigest(
  number: number,
  services: ReadonlyMap<string, ServiceRules | undefined>,
): string {
  const names = [...services.keys()].sort();
  const content = names.map(name => [name, services.get(name) ?? null]);
  return createHash('sha256')
    .update(JSON.stringify([number, content]))
    .digest('hex')
    .slice(0, DIGEST_HEX_DIGITS);
}
