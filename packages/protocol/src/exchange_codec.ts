/** Converts exchange messages between plain objects and generated protobuf messages. */
import {create} from '@bufbuild/protobuf';
import {isValidAddress, isValidRecord} from '@goldcresthill/membership';
import type {
  ExchangeMessage,
  QuarantineUpdate,
  MemberRecord,
  MemberStatus,
} from '@goldcresthill/membership';
import type {NodeAddress, ServerState} from '@goldcresthill/types';
import {ExchangeMessageSchema} from './gen/goldcresthill/v1/control_pb.js';
import type {
  ExchangeMessage as WireExchange,
  MemberRecord as WireRecord,
  News as WireNews,
  NodeAddress as WireAddress,
} from './gen/goldcresthill/v1/control_pb.js';

const MEMBER_STATUSES: readonly MemberStatus[] = [
  'alive',
  'suspect',
  'dead',
  'left',
];
const SERVER_STATES: readonly ServerState[] = ['up', 'draining', 'down'];

/** Encodes an exchange message as its protobuf message. */
export function encodeExchange(message: ExchangeMessage): WireExchange {
  return create(ExchangeMessageSchema, {
    from: message.from,
    records: message.records.map(record => ({
      ...record,
      servers: [...record.servers],
    })),
    news: message.news.map(news => ({instance: '', ...news})),
    digest: message.digest,
    buckets: [...message.buckets],
    configRevision: message.configRevision,
    storeEra: message.storeEra,
    probeTarget: message.probeTarget ?? '',
    probeReached: message.probeReached,
  });
}

/**
 * Decodes a protobuf message; undefined if the sender's address is missing or invalid.
 * Records and news that are incomplete or of an unknown kind are skipped.
 */
export function decodeExchange(
  wire: WireExchange,
): ExchangeMessage | undefined {
  const from = decodeAddress(wire.from);
  if (from === undefined) return undefined;
  return {
    from,
    records: wire.records.flatMap(decodeRecord),
    news: wire.news.flatMap(decodeNews),
    digest: wire.digest,
    buckets: wire.buckets,
    configRevision: wire.configRevision,
    storeEra: wire.storeEra,
    probeTarget: wire.probeTarget === '' ? undefined : wire.probeTarget,
    probeReached: wire.probeReached,
  };
}

function decodeAddress(wire: WireAddress | undefined): NodeAddress | undefined {
  if (wire === undefined) return undefined;
  const {nodeId, bootId, host, dataPort, controlPort, domain, region} = wire;
  const ports = {dataPort, controlPort};
  const address = {nodeId, bootId, host, ...ports, domain, region};
  return isValidAddress(address) ? address : undefined;
}

function decodeRecord(wire: WireRecord): MemberRecord[] {
  const address = decodeAddress(wire.address);
  const status = MEMBER_STATUSES.find(known => known === wire.status);
  if (address === undefined || status === undefined) return [];
  const servers = wire.servers.map(server => ({
    service: server.service,
    port: server.port,
    slots: server.slots,
    instance: server.instance,
    state: SERVER_STATES.find(known => known === server.state) ?? 'down',
  }));
  const {incarnation, version} = wire;
  const record = {address, incarnation, version, status, servers};
  return isValidRecord(record) ? [record] : [];
}

function decodeNews(wire: WireNews): QuarantineUpdate[] {
  const {fingerprint, instance, at} = wire;
  if (wire.type === 'strike')
    return [{type: 'strike', fingerprint, instance, at}];
  if (wire.type === 'clearance') return [{type: 'clearance', fingerprint, at}];
  return [];
}
