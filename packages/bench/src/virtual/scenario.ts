/** Scenarios of routing trials, with the sizes of the brief. */

/** Shapes of disturbance. */
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

/** Servers and their surroundings. */
export interface Site {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  readonly meanMs: number;
  /** One way between failure domains, milliseconds. */
  readonly betweenDomainsMs: number;
  readonly domains: number;
  /** Gateways that choose at once. */
  readonly gateways: number;
}

/** The users' services of today. */
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

/** Calls a second that a site carries when all of its slots are busy. */
export function capacityOf(site: Site): number {
  return (site.servers * site.slots * 1_000) / site.meanMs;
}
