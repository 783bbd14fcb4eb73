/** Ticket files: a number and the whole new state of each service touched. */
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

/** A checked ticket. A service that is to go has no rules. */
export interface Ticket {
  readonly number: number;
  readonly note: string;
  readonly services: ReadonlyMap<string, ServiceRules | undefined>;
  /** Digest of the checked content; the same for the same ticket sent again. */
  readonly digest: string;
}

const SERVICE_SECTION = /^service ([a-z0-9][a-z0-9-]{0,62})$/;
const METHOD = /^[A-Z]{1,16}$/;
const PATH = /^\/[^\s,]{0,255}$/;
const NODE_NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const MAX_SERVICES = 200;
const DIGEST_CHARS = 16;
const D = DEFAULT_SERVICE_RULES;

const HEADER = z.object({
  number: fields.integer(1, 1_000_000_000),
  note: fields.text(/^.{0,200}$/, 'at most 200 characters').default(''),
});

const SERVICE = z.object({
  remove: fields.boolean().default(false),
  policy: fields
    .oneOf([
      'expectedTime',
      'random',
      'roundRobin',
      'leastReported',
      'powerOfTwo',
    ])
    .default(D.policy),
  deadline_ms: fields.integer(1, 600_000).default(D.deadlineMs),
  max_deadline_ms: fields.integer(1, 600_000).default(D.maxDeadlineMs),
  repeatable_methods: fields
    .list(METHOD, 'methods in capitals')
    .default([...D.repeatableMethods]),
  repeatable_paths: fields.list(PATH, 'path prefixes').default([]),
  once_paths: fields.list(PATH, 'path prefixes').default([]),
  max_retries: fields.integer(0, 10).default(D.maxRetries),
  retry_percent: fields.decimal(0, 100).default(D.retryPercent),
  retry_burst: fields.integer(0, 10_000).default(D.retryBurst),
  retry_pool: fields.integer(0, 1_000_000).default(D.retryPool),
  retry_window_ms: fields.integer(1_000, 600_000).default(D.retryWindowMs),
  hedge_percent: fields.decimal(0, 50).default(D.hedgePercent),
  hedge_quantile: fields.decimal(50, 99.9).default(D.hedgeQuantile),
  probes_per_second: fields.decimal(0, 10_000).default(D.probesPerSecond),
  probe_percent: fields.decimal(0, 500).default(D.probePercent),
  probe_bytes_per_second: fields
    .integer(0, 10_000_000)
    .default(D.probeBytesPerSecond),
  cross_domain_percent: fields.decimal(0, 1_000).default(D.crossDomainPercent),
  queue_per_slot: fields.decimal(0, 100).default(D.queuePerSlot),
  max_slots: fields.integer(1, 10_000).default(D.maxSlots),
  slot_percent: fields.decimal(1, 100).default(D.slotPercent),
  load_path: fields.text(/^(\/\S{0,255})?$/, 'a path').default(D.loadPath),
  load_checks_per_second: fields
    .decimal(0, 1_000)
    .default(D.loadChecksPerSecond),
  warm_up_ms: fields.integer(0, 600_000).default(D.warmUpMs),
  max_request_bytes: fields.integer(0, 67_108_864).default(D.maxRequestBytes),
  max_buffered_bytes: fields
    .integer(1_024, 67_108_864)
    .default(D.maxBufferedBytes),
  shed_statuses: fields.integerList(400, 599).default([]),
  subset_size: fields.integer(0, 1_000).default(D.subsetSize),
  silence_ms: fields.integer(10, 60_000).default(D.silenceMs),
  quarantine_seconds: fields.integer(1, 86_400).default(D.quarantineSeconds),
  drain_nodes: fields.list(NODE_NAME, 'node names').default([]),
});

type ServiceSection = z.output<typeof SERVICE>;

/** Checks a ticket as a whole; nothing of a faulty ticket is taken. */
export function parseTicket(source: string): Result<Ticket, ValidationIssue[]> {
  return parseSections(source).andThen(sections => {
    const header = validateSection(
      'ticket',
      sections.get('ticket') ?? new Map(),
      HEADER,
    );
    const faults: ValidationIssue[] = header.isErr() ? [...header.error] : [];
    const services = new Map<string, ServiceRules | undefined>();
    for (const [name, body] of sections) {
      if (name !== 'ticket') readService(name, body, services, faults);
    }
    faults.push(...countFaults(services.size, faults.length));
    if (faults.length > 0 || header.isErr()) return err(faults);
    const {number, note} = header.value;
    return ok({number, note, services, digest: digestOf(number, services)});
  });
}

/** Writes rules as the keys of a ticket's section. */
export function formatRules(rules: ServiceRules): string {
  return Object.entries(rules)
    .map(([key, value]) => `${snakeCase(key)} = ${formatValue(value)}`)
    .join('\n');
}

function readService(
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
  const checked = validateSection(section, body, SERVICE);
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

function countFaults(count: number, others: number): ValidationIssue[] {
  if ((count > 0 || others > 0) && count <= MAX_SERVICES) return [];
  const allowed = `1 to ${MAX_SERVICES} sections [service NAME]`;
  return [{section: 'ticket', key: '', value: String(count), message: allowed}];
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

function digestOf(
  number: number,
  services: ReadonlyMap<string, ServiceRules | undefined>,
): string {
  const names = [...services.keys()].sort();
  const content = names.map(name => [name, services.get(name) ?? null]);
  return createHash('sha256')
    .update(JSON.stringify([number, content]))
    .digest('hex')
    .slice(0, DIGEST_CHARS);
}
