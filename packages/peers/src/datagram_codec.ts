/** Encodes datagrams as JSON arrays, which take half the bytes of objects. */
import {isValidAddress, isValidRecord} from '@goldcresthill/membership';
import type {
  ExchangeMessage,
  QuarantineUpdate,
  MemberRecord,
  MemberStatus,
} from '@goldcresthill/membership';
import type {
  AdmissionQuery,
  LoadReport,
  NodeAddress,
  ServerRecord,
  ServerState,
} from '@goldcresthill/types';
import * as z from 'zod';
import type {Datagram} from './datagram';
import {evacuationSchema, evacuationsToTuple} from './evacuation_codec';

const STATES: readonly ServerState[] = ['up', 'draining', 'down'];
const STATUSES: readonly MemberStatus[] = ['alive', 'suspect', 'dead', 'left'];
const PERCENT = 100;
const BYTES_PER_HASH = 4;

const nonNegative = z.number().nonnegative();
const nonEmpty = z.string().min(1);
const indexInto = <T extends string>(values: readonly T[]) =>
  z.number().transform((index, context): T => {
    const value = values[index];
    if (value !== undefined) return value;
    context.addIssue({code: 'custom', message: 'index out of range'});
    return z.NEVER;
  });

const addressSchema = z
  .tuple([
    nonEmpty,
    nonNegative,
    nonEmpty,
    nonNegative,
    nonNegative,
    z.string(),
    z.string(),
  ])
  .transform(
    ([nodeId, bootId, host, dataPort, controlPort, domain, region]) => ({
      nodeId,
      bootId,
      host,
      dataPort,
      controlPort,
      domain,
      region,
    }),
  )
  .refine(isValidAddress);

const serverSchema = z
  .tuple([nonEmpty, nonNegative, nonNegative, z.string(), indexInto(STATES)])
  .transform(([service, port, slots, instance, state]) => ({
    service,
    port,
    slots,
    instance,
    state,
  }));

const recordSchema = z
  .tuple([
    addressSchema,
    nonNegative,
    nonNegative,
    indexInto(STATUSES),
    z.array(serverSchema),
    z.array(z.string()),
  ])
  .transform(([address, incarnation, version, status, servers, leaving]) => ({
    address,
    incarnation,
    version,
    status,
    servers,
    leaving,
  }))
  .refine(isValidRecord);

/** Skips invalid records, so that one of them does not cost the others of its message. */
const recordsSchema = z
  .array(z.unknown())
  .transform(items => items.flatMap(parseRecord));

const updateSchema = z
  .tuple([z.string(), z.string(), nonNegative])
  .transform(([fingerprint, instance, at]): QuarantineUpdate =>
    instance === ''
      ? {type: 'clearance', fingerprint, at}
      : {type: 'strike', fingerprint, instance, at},
  );

const reportSchema = z
  .tuple([
    nonNegative,
    nonNegative,
    nonNegative,
    nonNegative,
    nonNegative,
    indexInto(STATES),
  ])
  .transform(([inFlight, queued, limit, serviceUs, percent, state]) => ({
    inFlight,
    queued,
    limit,
    serviceUs,
    slowdown: percent / PERCENT,
    state,
  }));

const exchangeSchema = z
  .tuple([
    z.enum(['exchange', 'answer']),
    nonNegative,
    nonNegative,
    addressSchema,
    recordsSchema,
    z.array(updateSchema),
    nonNegative,
    z.string(),
    nonNegative,
    z.string(),
    z.boolean(),
    nonNegative,
    evacuationSchema,
  ])
  .transform(([type, ref, confirmedMs, from, records, news, ...rest]) => {
    const [digest, buckets, configRevision, target, probeReached, ...last] =
      rest;
    const [storeEra, evacuations] = last;
    return {
      ...(evacuations && {evacuations}),
      type,
      ref,
      confirmedMs,
      message: {
        from,
        records,
        news,
        digest,
        buckets: decodeHashes(buckets),
        configRevision,
        storeEra,
        probeTarget: target === '' ? undefined : target,
        probeReached,
      },
    };
  });

const querySchema = z
  .tuple([
    nonEmpty,
    z.string(),
    z.string(),
    nonNegative,
    nonNegative,
    z.number(),
    z.boolean(),
  ])
  .transform(([service, route, origin, priority, ...rest]): AdmissionQuery => {
    const [remainingMs, objectiveRemainingMs, returning] = rest;
    return {
      service,
      route,
      origin,
      priority,
      remainingMs,
      objectiveRemainingMs,
      returning,
    };
  });

const loadRequestSchema = z
  .tuple([z.literal('ask'), nonNegative, querySchema])
  .transform(([type, ref, query]) => ({type, ref, query}));

const loadResponseSchema = z
  .tuple([
    z.literal('load'),
    nonNegative,
    nonNegative,
    reportSchema.nullable(),
    z.boolean(),
  ])
  .transform(([type, ref, bootId, report, accepts]) => ({
    type,
    ref,
    bootId,
    estimate: report === null ? undefined : {report, accepts},
  }));

const confirmationSchema = z
  .tuple([z.literal('confirmed'), nonNegative, nonNegative, evacuationSchema])
  .transform(([type, revision, ageMs, evacuations]) => ({
    type,
    confirmation: {revision, ageMs},
    ...(evacuations && {evacuations}),
  }));

const proveSchema = z
  .tuple([z.literal('prove'), nonNegative, z.array(nonEmpty)])
  .transform(([type, ref, names]) => ({type, ref, names}));

const proofSchema = z
  .tuple([
    z.literal('proof'),
    nonNegative,
    z.array(
      z
        .tuple([nonEmpty, nonNegative, nonNegative])
        .transform(([name, revision, ageMs]) => ({name, revision, ageMs})),
    ),
  ])
  .transform(([type, ref, proofs]) => ({type, ref, proofs}));

const tokensSchema = z
  .tuple([
    z.literal('tokens'),
    nonNegative,
    nonEmpty,
    z.number().int().positive(),
    nonNegative,
  ])
  .transform(([type, ref, account, count, epoch]) => ({
    type,
    ref,
    account,
    count,
    epoch,
  }));

const grantedSchema = z
  .tuple([
    z.literal('granted'),
    nonNegative,
    z.number().int().nonnegative(),
    nonNegative,
    nonNegative,
    nonNegative,
  ])
  .transform(([type, ref, count, validityMs, retryAfterMs, epoch]) => ({
    type,
    ref,
    count,
    validityMs,
    retryAfterMs,
    epoch,
  }));

const allocatorsSchema = z
  .tuple([
    z.literal('allocators'),
    nonNegative,
    nonNegative,
    nonNegative,
    z.array(nonEmpty),
  ])
  .transform(([type, epoch, previous, era, nodes]) => ({
    type,
    list: {epoch, previous, era, nodes},
  }));

/** Schemas by the first element of the tuple, as most datagrams concern load. */
const SCHEMAS: Readonly<Record<Datagram['type'], z.ZodType<Datagram>>> = {
  ask: loadRequestSchema,
  load: loadResponseSchema,
  exchange: exchangeSchema,
  answer: exchangeSchema,
  confirmed: confirmationSchema,
  prove: proveSchema,
  proof: proofSchema,
  tokens: tokensSchema,
  granted: grantedSchema,
  allocators: allocatorsSchema,
};

export function encodeDatagram(datagram: Datagram): string {
  return JSON.stringify(datagramToTuple(datagram));
}

/** Decodes a datagram; undefined if the bytes are not a valid one. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
  if (!Array.isArray(value) || !isDatagramType(value[0])) return undefined;
  const parsed = SCHEMAS[value[0]].safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

function isDatagramType(value: unknown): value is Datagram['type'] {
  return typeof value === 'string' && Object.hasOwn(SCHEMAS, value);
}

/** What a node that has just started learns from another one. */
export interface NodeTable {
  readonly records: readonly MemberRecord[];
  readonly updates: readonly QuarantineUpdate[];
}

/** Encodes a table, which is too large for a datagram. Nodes that don't know updates skip them. */
export function encodeTable({records, updates}: NodeTable): string {
  return JSON.stringify([
    ...records.map(recordToTuple),
    ...updates.map(updateToTuple),
  ]);
}

/** Decodes a table; skips invalid entries and returns an empty one for invalid JSON. */
export function decodeTable(text: string): NodeTable {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return {records: [], updates: []};
  }
  const items: unknown[] = Array.isArray(value) ? value : [];
  return {
    records: items.flatMap(parseRecord),
    updates: items.flatMap(parseUpdate),
  };
}

function parseUpdate(item: unknown): QuarantineUpdate[] {
  const parsed = updateSchema.safeParse(item);
  return parsed.success ? [parsed.data] : [];
}

function parseRecord(item: unknown): MemberRecord[] {
  const parsed = recordSchema.safeParse(item);
  return parsed.success ? [parsed.data] : [];
}

function datagramToTuple(datagram: Datagram): unknown[] {
  switch (datagram.type) {
    case 'ask':
      return [datagram.type, datagram.ref, queryToTuple(datagram.query)];
    case 'load': {
      const {type, ref, bootId, estimate} = datagram;
      const report = estimate && reportToTuple(estimate.report);
      return [type, ref, bootId, report ?? null, estimate?.accepts ?? false];
    }
    case 'exchange':
    case 'answer': {
      const {type, ref, confirmedMs, message} = datagram;
      return [
        type,
        ref,
        Math.ceil(confirmedMs),
        ...messageToTuple(message),
        ...evacuationsToTuple(datagram.evacuations),
      ];
    }
    case 'confirmed': {
      const {revision, ageMs} = datagram.confirmation;
      return [
        datagram.type,
        revision,
        Math.ceil(ageMs),
        ...evacuationsToTuple(datagram.evacuations),
      ];
    }
    case 'prove':
      return [datagram.type, datagram.ref, datagram.names];
    case 'proof': {
      const {type, ref, proofs} = datagram;
      const entries = proofs.map(({name, revision, ageMs}) => [
        name,
        revision,
        Math.ceil(ageMs),
      ]);
      return [type, ref, entries];
    }
    case 'tokens': {
      const {type, ref, account, count, epoch} = datagram;
      return [type, ref, account, count, epoch];
    }
    case 'granted': {
      const {type, ref, count, validityMs, retryAfterMs, epoch} = datagram;
      const retryMs = Math.ceil(retryAfterMs);
      return [type, ref, count, Math.floor(validityMs), retryMs, epoch];
    }
    case 'allocators': {
      const {epoch, previous, era, nodes} = datagram.list;
      return [datagram.type, epoch, previous, era, nodes];
    }
  }
}

function queryToTuple(query: AdmissionQuery): unknown[] {
  const {service, route, origin, priority, returning} = query;
  const remainingMs = Math.max(0, Math.round(query.remainingMs));
  const objectiveMs = Math.round(query.objectiveRemainingMs);
  return [
    service,
    route,
    origin,
    priority,
    remainingMs,
    objectiveMs,
    returning,
  ];
}

function messageToTuple(message: ExchangeMessage): unknown[] {
  return [
    addressToTuple(message.from),
    message.records.map(recordToTuple),
    message.news.map(updateToTuple),
    message.digest,
    encodeHashes(message.buckets),
    message.configRevision,
    message.probeTarget ?? '',
    message.probeReached,
    message.storeEra,
  ];
}

function addressToTuple(address: NodeAddress): unknown[] {
  const {nodeId, bootId, host, dataPort, controlPort, domain, region} = address;
  return [nodeId, bootId, host, dataPort, controlPort, domain, region];
}

function recordToTuple(record: MemberRecord): unknown[] {
  const {address, incarnation, version, status, servers, leaving} = record;
  return [
    addressToTuple(address),
    incarnation,
    version,
    STATUSES.indexOf(status),
    servers.map(serverToTuple),
    leaving ?? [],
  ];
}

function serverToTuple(server: ServerRecord): unknown[] {
  const {service, port, slots, instance, state} = server;
  return [service, port, slots, instance, STATES.indexOf(state)];
}

function updateToTuple(update: QuarantineUpdate): unknown[] {
  const instance = update.type === 'strike' ? update.instance : '';
  return [update.fingerprint, instance, update.at];
}

function reportToTuple(report: LoadReport): number[] {
  const {inFlight, queued, limit, serviceUs, slowdown, state} = report;
  const percent = Math.round(slowdown * PERCENT);
  return [inFlight, queued, limit, serviceUs, percent, STATES.indexOf(state)];
}

function encodeHashes(hashes: readonly number[]): string {
  const bytes = Buffer.alloc(hashes.length * BYTES_PER_HASH);
  hashes.forEach((hash, i) => bytes.writeUInt32LE(hash, i * BYTES_PER_HASH));
  return bytes.toString('base64');
}

function decodeHashes(text: string): number[] {
  const bytes = Buffer.from(text, 'base64');
  const size = Math.floor(bytes.length / BYTES_PER_HASH);
  return Array.from({length: size}, (_, i) =>
    bytes.readUInt32LE(i * BYTES_PER_HASH),
  );
}
