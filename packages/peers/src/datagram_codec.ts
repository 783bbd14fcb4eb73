/** Datagrams as JSON; those of load alone are arrays, as they are sent most. */
import type {LoadReport, ServerState} from '@goldcresthill/types';
import * as z from 'zod';
import type {Datagram, LoadNews, ServerLoadReport} from './datagram';

const STATES: readonly ServerState[] = ['up', 'draining', 'down'];
const PERCENT = 100;

const count = z.number().nonnegative();
const state = z.enum(['up', 'draining', 'down']);
const reportSchema = z.object({
  inFlight: count,
  queued: count,
  limit: count,
  serviceUs: count,
  slowdown: count,
  state,
});
const helloSchema = z.object({
  type: z.literal('hello'),
  address: z.object({
    nodeId: z.string().min(1),
    bootId: z.number(),
    host: z.string(),
    dataPort: z.number(),
    controlPort: z.number(),
    domain: z.string(),
    region: z.string(),
  }),
  seq: count,
  configVersion: count,
  leaving: z.boolean(),
  servers: z.array(
    z.object({
      service: z.string(),
      port: z.number(),
      slots: count,
      instance: z.string(),
      state,
    }),
  ),
  loads: z.array(z.object({service: z.string(), report: reportSchema})),
  strikes: z.array(
    z.object({fingerprint: z.string(), instance: z.string(), at: z.number()}),
  ),
  clearances: z.array(z.object({fingerprint: z.string(), at: z.number()})),
  leavingServers: z.array(z.string()),
  yourLeaving: z.array(z.string()),
  asks: z.boolean(),
});

/** Writes a datagram. */
export function encodeDatagram(datagram: Datagram): string {
  if (datagram.type === 'hello') return JSON.stringify(datagram);
  const {nodeId, bootId, seq, configVersion, loads} = datagram;
  return JSON.stringify([
    nodeId,
    bootId,
    seq,
    configVersion,
    ...loads.flatMap(({service, report}) => [service, ...toNumbers(report)]),
  ]);
}

/** Reads a datagram; undefined if the bytes are not one. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
  if (Array.isArray(value)) return decodeLoadNews(value);
  const parsed = helloSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

const FIELDS_OF_LOAD = 7;

function decodeLoadNews(parts: readonly unknown[]): LoadNews | undefined {
  const [nodeId, bootId, seq, configVersion, ...rest] = parts;
  if (typeof nodeId !== 'string' || !isCount(bootId)) return undefined;
  if (!isCount(seq) || !isCount(configVersion)) return undefined;
  if (rest.length % FIELDS_OF_LOAD !== 0) return undefined;
  const loads: ServerLoadReport[] = [];
  for (let i = 0; i < rest.length; i += FIELDS_OF_LOAD) {
    const [service, ...numbers] = rest.slice(i, i + FIELDS_OF_LOAD);
    if (typeof service !== 'string' || !numbers.every(isCount))
      return undefined;
    loads.push({service, report: toReport(numbers)});
  }
  return {type: 'load', nodeId, bootId, seq, configVersion, loads};
}

function toNumbers(report: LoadReport): number[] {
  const {inFlight, queued, limit, serviceUs, slowdown, state} = report;
  const percent = Math.round(slowdown * PERCENT);
  return [inFlight, queued, limit, serviceUs, percent, STATES.indexOf(state)];
}

function toReport(numbers: readonly number[]): LoadReport {
  const [inFlight = 0, queued = 0, limit = 1, serviceUs = 0] = numbers;
  const [percent = PERCENT, state = 0] = numbers.slice(4);
  return {
    inFlight,
    queued,
    limit,
    serviceUs,
    slowdown: percent / PERCENT,
    state: STATES[state] ?? 'up',
  };
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
