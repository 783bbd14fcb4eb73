/** Derives the server endpoints of a gateway's routers from the member records. */
import type {MemberRecord} from '@goldcresthill/membership';
import type {ServerEndpoint} from '@goldcresthill/routing';
import {serverId} from '@goldcresthill/types';
import type {Micros, NodeAddress, ServiceRules} from '@goldcresthill/types';

/** Inputs of serverEndpoints. */
export interface FleetView {
  readonly self: NodeAddress;
  readonly records: readonly MemberRecord[];
  /** Failure domains that this node cannot reach; their servers are treated as down. */
  readonly cutDomains: readonly string[];
  readonly rules: ReadonlyMap<string, ServiceRules>;
  /** Failure domains whose servers get no requests; by default none. */
  readonly evacuations?: Evacuations;
}

/** Evacuated failure domains; `unknown` if each of them may be evacuated. */
export type Evacuations = ReadonlySet<string> | 'unknown';

/** Round-trip network time assumed by distance until one is measured, microseconds. */
const INITIAL_NETWORK_US: Record<
  'local' | 'domain' | 'region' | 'far',
  Micros
> = {
  local: 50,
  domain: 400,
  region: 2_000,
  far: 30_000,
};

/** Returns the endpoints of all servers, by service. */
export function serverEndpoints(
  view: FleetView,
): Map<string, ServerEndpoint[]> {
  const endpoints = new Map<string, ServerEndpoint[]>();
  for (const record of view.records) {
    if (isEvacuated(view, record.address.domain)) continue;
    for (const server of record.servers) {
      const list = endpoints.get(server.service) ?? [];
      list.push(createEndpoint(view, record, server));
      endpoints.set(server.service, list);
    }
  }
  return endpoints;
}

// Left out rather than marked as draining, as reports of gates that do not know of it yet would undo that.
function isEvacuated({evacuations}: FleetView, domain: string): boolean {
  if (evacuations === undefined) return false;
  return evacuations === 'unknown' || evacuations.has(domain);
}

function createEndpoint(
  view: FleetView,
  record: MemberRecord,
  server: MemberRecord['servers'][number],
): ServerEndpoint {
  const {address} = record;
  const isCut = view.cutDomains.includes(address.domain);
  const isReachable = record.status === 'alive' && !isCut;
  const rules = view.rules.get(server.service);
  const isDrained = rules?.drainNodes.includes(address.nodeId);
  const state = isDrained ? 'draining' : server.state;
  return {
    id: serverId(address.nodeId, server.service),
    nodeId: address.nodeId,
    domain: address.domain,
    slots: server.slots,
    state: isReachable ? state : 'down',
    networkUs: INITIAL_NETWORK_US[networkDistance(view.self, address)],
    instance: `${address.bootId}:${server.instance}`,
  };
}

function networkDistance(
  own: NodeAddress,
  other: NodeAddress,
): keyof typeof INITIAL_NETWORK_US {
  if (other.nodeId === own.nodeId) return 'local';
  if (other.domain === own.domain) return 'domain';
  return other.region === own.region ? 'region' : 'far';
}
