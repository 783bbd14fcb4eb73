/** Datagrams as JSON arrays, which take half the bytes of objects. */
import type {
  ExchangeMessage,
  MemberNews,
  MemberRecord,
  MemberStatus,
} from '@goldcresthill/membership';
import type {
  LoadReport,
  NodeAddress,
  ServerRecord,
  ServerState,
} from '@goldcresthill/types';
import * as z from 'zod';
import type {Datagram} from './datagram';

const STATES: readonly ServerState[] = ['up', 'draining', 'down'];
const STATUSES: readonly MemberStatus[] = ['alive', 'suspect', 'dead', 'left'];
const PERCENT = 100;
const BYTES_PER_HASH = 4;

const count = z.number().nonnegative();
const name = z.string().min(1);
const ordinal = <T extends string>(words: readonly T[]) =>
  z.number().transform((index, context): T => {
    const word = words[index];
    if (word !== undefined) return word;
    context.addIssue({code: 'custom', message: 'not one of the known words'});
    return z.NEVER;
  });

const addressSchema = z
  .tuple([name, count, name, count, count, z.string(), z.string()])
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
  );

const serverSchema = z
  .tuple([name, count, count, z.string(), ordinal(STATES)])
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
    count,
    count,
    ordinal(STATUSES),
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
  }));

const newsSchema = z
  .tuple([z.string(), z.string(), count])
  .transform(([fingerprint, instance, at]): MemberNews =>
    instance === ''
      ? {type: 'clearance', fingerprint, at}
      : {type: 'strike', fingerprint, instance, at},
  );

const reportSchema = z
  .tuple([count, count, count, count, count, ordinal(STATES)])
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
    count,
    count,
    addressSchema,
    z.array(recordSchema),
    z.array(newsSchema),
    count,
    z.string(),
    count,
    z.string(),
    z.boolean(),
  ])
  .transform(([type, ref, watchedMs, from, records, news, ...rest]) => {
    const [digest, buckets, configRevision, target, probeReached] = rest;
    return {
      type,
      ref,
      watchedMs,
      message: {
        from,
        records,
        news,
        digest,
        buckets: toHashes(buckets),
        configRevision,
        probeTarget: target === '' ? undefined : target,
        probeReached,
      },
    };
  });

const questionSchema = z
  .tuple([z.literal('ask'), count, name])
  .transform(([type, ref, service]) => ({type, ref, service}));

const answerSchema = z
  .tuple([z.literal('load'), count, count, reportSchema.nullable()])
  .transform(([type, ref, bootId, report]) => ({
    type,
    ref,
    bootId,
    report: report ?? undefined,
  }));

const datagramSchema: z.ZodType<Datagram> = z.union([
  questionSchema,
  answerSchema,
  exchangeSchema,
]);

/** Writes a datagram. */
export function encodeDatagram(datagram: Datagram): string {
  return JSON.stringify(toArray(datagram));
}

/** Reads a datagram; undefined if the bytes are not one. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
  const parsed = datagramSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Writes records one by one, as they do not fit into a datagram together. */
export function encodeRecords(records: readonly MemberRecord[]): string {
  return JSON.stringify(records.map(toRecord));
}

/** Reads records; those that cannot be read are left out. */
export function decodeRecords(text: string): MemberRecord[] {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return [];
  }
  if (!Array.isArray(value)) return [];
  return value.flatMap(item => {
    const parsed = recordSchema.safeParse(item);
    return parsed.success ? [parsed.data] : [];
  });
}

function toArray(datagram: Datagram): unknown[] {
  switch (datagram.type) {
    case 'ask':
      return [datagram.type, datagram.ref, datagram.service];
    case 'load': {
      const {type, ref, bootId, report} = datagram;
      return [type, ref, bootId, report === undefined ? null : toLoad(report)];
    }
    case 'exchange':
    case 'answer': {
      const {type, ref, watchedMs, message} = datagram;
      return [type, ref, Math.round(watchedMs), ...toExchange(message)];
    }
  }
}

function toExchange(message: ExchangeMessage): unknown[] {
  return [
    toAddress(message.from),
    message.records.map(toRecord),
    message.news.map(toNews),
    message.digest,
    fromHashes(message.buckets),
    message.configRevision,
    message.probeTarget ?? '',
    message.probeReached,
  ];
}

function toAddress(address: NodeAddress): unknown[] {
  const {nodeId, bootId, host, dataPort, controlPort, domain, region} = address;
  return [nodeId, bootId, host, dataPort, controlPort, domain, region];
}

function toRecord(record: MemberRecord): unknown[] {
  const {address, incarnation, version, status, servers, leaving} = record;
  return [
    toAddress(address),
    incarnation,
    version,
    STATUSES.indexOf(status),
    servers.map(toServer),
    leaving ?? [],
  ];
}

function toServer(server: ServerRecord): unknown[] {
  const {service, port, slots, instance, state} = server;
  return [service, port, slots, instance, STATES.indexOf(state)];
}

function toNews(news: MemberNews): unknown[] {
  const instance = news.type === 'strike' ? news.instance : '';
  return [news.fingerprint, instance, news.at];
}

function toLoad(report: LoadReport): number[] {
  const {inFlight, queued, limit, serviceUs, slowdown, state} = report;
  const percent = Math.round(slowdown * PERCENT);
  return [inFlight, queued, limit, serviceUs, percent, STATES.indexOf(state)];
}

function fromHashes(hashes: readonly number[]): string {
  const bytes = Buffer.alloc(hashes.length * BYTES_PER_HASH);
  hashes.forEach((hash, i) => bytes.writeUInt32LE(hash, i * BYTES_PER_HASH));
  return bytes.toString('base64');
}

function toHashes(text: string): number[] {
  const bytes = Buffer.from(text, 'base64');
  const size = Math.floor(bytes.length / BYTES_PER_HASH);
  return Array.from({length: size}, (_, i) =>
    bytes.readUInt32LE(i * BYTES_PER_HASH),
  );
}
