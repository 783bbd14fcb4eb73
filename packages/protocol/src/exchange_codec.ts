/** Translates exchange messages between plain data and generated messages. */
import {create} from '@bufbuild/protobuf';
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

const STATUSES: readonly MemberStatus[] = ['alive', 'suspect', 'dead', 'left'];
const STATES: readonly ServerState[] = ['up', 'draining', 'down'];

/** Makes the generated message. */
export function toWire(message: ExchangeMessage): WireExchange {
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
    probeTarget: message.probeTarget ?? '',
    probeReached: message.probeReached,
  });
}

/** Reads a generated message; undefined if it lacks what it must have. */
export function fromWire(wire: WireExchange): ExchangeMessage | undefined {
  const from = addressOf(wire.from);
  if (from === undefined) return undefined;
  return {
    from,
    records: wire.records.flatMap(recordOf),
    news: wire.news.flatMap(newsOf),
    digest: wire.digest,
    buckets: wire.buckets,
    configRevision: wire.configRevision,
    probeTarget: wire.probeTarget === '' ? undefined : wire.probeTarget,
    probeReached: wire.probeReached,
  };
}

function addressOf(wire: WireAddress | undefined): NodeAddress | undefined {
  if (wire === undefined || wire.nodeId === '' || wire.host === '')
    return undefined;
  const {nodeId, bootId, host, dataPort, controlPort, domain, region} = wire;
  return {nodeId, bootId, host, dataPort, controlPort, domain, region};
}

function recordOf(wire: WireRecord): MemberRecord[] {
  const address = addressOf(wire.address);
  const status = STATUSES.find(known => known === wire.status);
  if (address === undefined || status === undefined) return [];
  const servers = wire.servers.map(server => ({
    service: server.service,
    port: server.port,
    slots: server.slots,
    instance: server.instance,
    state: STATES.find(known => known === server.state) ?? 'down',
  }));
  return [
    {
      address,
      incarnation: wire.incarnation,
      version: wire.version,
      status,
      servers,
    },
  ];
}

function newsOf(wire: WireNews): QuarantineUpdate[] {
  const {fingerprint, instance, at} = wire;
  if (wire.type === 'strike')
    return [{type: 'strike', fingerprint, instance, at}];
  if (wire.type === 'clearance') return [{type: 'clearance', fingerprint, at}];
  return [];
}
