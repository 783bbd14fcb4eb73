/** Disturbances and sites of routing trials; the sites have the sizes of the users' services. */

/** Kinds of disturbance. */
export const DISTURBANCES = [
  'steady',
  'shifting',
  'straggler',
  'coldStart',
  'drain',
  'burst',
  'refusals',
  'failFast',
  'overclaim',
] as const;

export type Disturbance = (typeof DISTURBANCES)[number];

/** The servers of a service, their network and the gateways that call them. */
export interface Site {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  /** Mean service time, milliseconds. */
  readonly meanMs: number;
  /** One-way network delay between failure domains, milliseconds. */
  readonly betweenDomainsMs: number;
  readonly domains: number;
  /** Gateways that route calls independently of each other. */
  readonly gateways: number;
}

/** The services that the users run today. */
export const SITES = {
  catalogue: {
    name: 'catalogue',
    servers: 10,
    slots: 10,
    meanMs: 10,
    betweenDomainsMs: 1,
    domains: 3,
    gateways: 10,
  },
  dispatch: {
    name: 'dispatch',
    servers: 3,
    slots: 10,
    meanMs: 10,
    betweenDomainsMs: 1,
    domains: 3,
    gateways: 3,
  },
  testLog: {
    name: 'test-log',
    servers: 6,
    slots: 20,
    meanMs: 10,
    betweenDomainsMs: 1,
    domains: 3,
    gateways: 6,
  },
} as const satisfies Record<string, Site>;

/** Names of the sites. */
export type SiteName = keyof typeof SITES;

/** Calls a second that a site completes while all of its slots are busy. */
export function capacityOf(site: Site): number {
  return (site.servers * site.slots * 1_000) / site.meanMs;
}
