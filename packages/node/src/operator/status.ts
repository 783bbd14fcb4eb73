/** Status of a node for operators. */
import type {MemberRecord} from '@goldcresthill/membership';
import type {ServiceRouter} from '@goldcresthill/routing';
import type {LoadReport} from '@goldcresthill/types';

/** State of a server as known to this node's gateway. */
export interface ServerStatus {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  readonly state: string;
  /** Requests in flight from this gateway. */
  readonly own: number;
  readonly report: LoadReport | undefined;
  readonly reportAgeMs: number | undefined;
  readonly networkUs: number;
  /** Why and for how long the gateway excludes the server; undefined if it does not. */
  readonly setAside: string | undefined;
}

/** State of a member as known to this node. */
export interface MemberView {
  readonly nodeId: string;
  readonly domain: string;
  readonly region: string;
  readonly status: string;
  readonly incarnation: number;
  readonly servers: readonly string[];
}

/** Response of `GET /status`. */
export interface NodeStatus {
  readonly node: string;
  /** Identifies this process of the node. */
  readonly bootId: number;
  readonly state: 'starting' | 'serving' | 'leaving';
  readonly configRevision: number;
  readonly configAgeMs: number;
  readonly membershipDigest: number;
  readonly cutDomains: readonly string[];
  readonly members: readonly MemberView[];
  readonly servers: readonly ServerStatus[];
  readonly quarantined: readonly string[];
  readonly callsOpen: number;
  readonly invariants: {readonly checked: number; readonly broken: number};
  readonly store: {readonly made: number; readonly failed: number};
  readonly logLinesDropped: number;
  readonly process: {
    readonly rssBytes: number;
    readonly heapUsedBytes: number;
    readonly cpuMicros: number;
    readonly uptimeSeconds: number;
    readonly eventLoopP99Us: number;
  };
}

const MAX_LISTED_SERVERS = 2_000;

/** Returns the status of members for operators. */
export function memberViews(records: readonly MemberRecord[]): MemberView[] {
  return records.map(record => ({
    nodeId: record.address.nodeId,
    domain: record.address.domain,
    region: record.address.region,
    status: record.status,
    incarnation: record.incarnation,
    servers: record.servers.map(s => `${s.service}:${s.state}`),
  }));
}

/** Returns the status of the servers of all services, at most `MAX_LISTED_SERVERS`. */
export function serverStatuses(
  now: number,
  routers: ReadonlyMap<string, ServiceRouter>,
): ServerStatus[] {
  const servers: ServerStatus[] = [];
  for (const [service, router] of routers) {
    for (const view of router.serverViews()) {
      if (servers.length >= MAX_LISTED_SERVERS) return servers;
      const isSetAside = view.isSetAside(now);
      servers.push({
        id: view.id,
        service,
        domain: view.domain,
        state: view.state,
        own: view.ownInFlight,
        report: view.report,
        reportAgeMs:
          view.report === undefined ? undefined : now - view.reportedAt,
        networkUs: Math.round(view.networkUs),
        setAside: isSetAside
          ? `no answers; excluded for another ${Math.round(view.setAsideUntil - now)} ms`
          : undefined,
      });
    }
  }
  return servers;
}
