/** Measures how news spread among up to 920 nodes: the production membership, control plane and tickets in one process, in virtual time. */
import {FleetSimulation} from '@goldcresthill/trials';
import {parseTicket} from '@goldcresthill/tickets';

/** Options of a spread experiment. */
export interface SpreadExperimentOptions {
  /** Rounded up to a multiple of the number of failure domains, 6. */
  readonly nodes: number;
  readonly seed: number;
  readonly onProgress: (line: string) => void;
}

/** Result of a spread experiment. Times are in milliseconds of virtual time, and undefined if the timeout passed first. */
export interface SpreadReport {
  readonly nodes: number;
  readonly joinMs: number | undefined;
  readonly restBytesPerSecond: number;
  readonly restMessagesPerSecond: number;
  readonly restStoreCallsPerSecond: number;
  readonly ticketMs: number | undefined;
  readonly ticketBytesPerNode: number;
  readonly deathMs: number | undefined;
  readonly deathBytesPerNode: number;
  /** Time until all other nodes report the failure domain as cut off. */
  readonly cutKnownMs: number | undefined;
  /** Time from the repair until no node reports a cut and all agree on the members. */
  readonly cutHealedMs: number | undefined;
  /** As for one domain, but with the connections between the regions cut. */
  readonly regionCutKnownMs: number | undefined;
  readonly regionHealedMs: number | undefined;
  /** Number of times that nodes were declared dead during the partitions. */
  readonly falseDeaths: number;
  /** Store calls of all nodes in the first second after an outage of the store. */
  readonly outageEndStoreCallsInFirstSecond: number;
}

const DOMAINS = 6;
const REGIONS = 2;
const TIMEOUT_MS = 180_000;
const REST_MS = 5_000;

/** Runs all measurements in turn; takes minutes with 920 nodes. */
export async function runSpreadExperiment(
  options: SpreadExperimentOptions,
): Promise<SpreadReport> {
  const nodesPerDomain = Math.ceil(options.nodes / DOMAINS);
  const world = new FleetSimulation({
    seed: options.seed,
    domains: DOMAINS,
    nodesPerDomain,
    regions: REGIONS,
  });
  const nodes = DOMAINS * nodesPerDomain;
  const reportProgress = options.onProgress;
  world.startAll();
  const joinMs = await world.runUntil(() => world.isConverged, TIMEOUT_MS, 500);
  reportProgress(`all nodes joined after ${joinMs} ms`);
  const traffic = await measureTraffic(world, REST_MS);
  const store = world.platform.counts;
  const callsBefore = store.reads + store.writes + store.watches;
  await world.run(REST_MS);
  const restCalls = store.reads + store.writes + store.watches - callsBefore;
  const ticketSpread = await measureTicketSpread(world);
  reportProgress(`ticket in force after ${ticketSpread.ms} ms`);
  const deathSpread = await measureDeathSpread(world);
  reportProgress(`death of a node known to all after ${deathSpread.ms} ms`);
  const domainPartition = await measureDomainPartition(world);
  reportProgress(
    `partition of a failure domain detected after ${domainPartition.knownMs} ms, healed after ${domainPartition.healedMs} ms`,
  );
  const regionPartition = await measureRegionPartition(world);
  reportProgress(
    `partition between regions detected after ${regionPartition.knownMs} ms, healed after ${regionPartition.healedMs} ms`,
  );
  const storeCallsAfterOutage = await measureOutageEnd(world);
  return {
    nodes,
    joinMs,
    restBytesPerSecond: traffic.bytes / nodes / (REST_MS / 1_000),
    restMessagesPerSecond: traffic.messages / nodes / (REST_MS / 1_000),
    restStoreCallsPerSecond: restCalls / (REST_MS / 1_000),
    ticketMs: ticketSpread.ms,
    ticketBytesPerNode: ticketSpread.bytes / nodes,
    deathMs: deathSpread.ms,
    deathBytesPerNode: deathSpread.bytes / nodes,
    cutKnownMs: domainPartition.knownMs,
    cutHealedMs: domainPartition.healedMs,
    regionCutKnownMs: regionPartition.knownMs,
    regionHealedMs: regionPartition.healedMs,
    falseDeaths: domainPartition.falseDeaths + regionPartition.falseDeaths,
    outageEndStoreCallsInFirstSecond: storeCallsAfterOutage,
  };
}

async function measureTraffic(
  world: FleetSimulation,
  forMs: number,
): Promise<{messages: number; bytes: number}> {
  const before = {...world.traffic};
  await world.run(forMs);
  return {
    messages: world.traffic.messages - before.messages,
    bytes: world.traffic.bytes - before.bytes,
  };
}

async function measureTicketSpread(
  world: FleetSimulation,
): Promise<{ms: number | undefined; bytes: number}> {
  const ticket = parseTicket('[ticket]\nnumber = 1\n[service a]\n');
  if (ticket.isErr())
    throw new Error('the ticket of the experiment is invalid');
  const bytes = world.traffic.bytes;
  void world.submit(0, ticket.value);
  const ms = await world.runUntil(() => world.allAtRevision(1), TIMEOUT_MS);
  return {ms, bytes: world.traffic.bytes - bytes};
}

async function measureDeathSpread(
  world: FleetSimulation,
): Promise<{ms: number | undefined; bytes: number}> {
  const bytes = world.traffic.bytes;
  world.kill(world.nodes.length - 1);
  const ms = await world.runUntil(() => world.isConverged, TIMEOUT_MS);
  return {ms, bytes: world.traffic.bytes - bytes};
}

async function measureDomainPartition(world: FleetSimulation): Promise<{
  knownMs: number | undefined;
  healedMs: number | undefined;
  falseDeaths: number;
}> {
  await world.run(REST_MS);
  world.statusChanges.length = 0;
  world.cut('d1');
  const others = world.liveNodes.filter(node => node.address.domain !== 'd1');
  const partitionDetected = (): boolean =>
    others.every(n =>
      n.controlPlane.member.membership.cutDomains.includes('d1'),
    );
  const knownMs = await world.runUntil(partitionDetected, TIMEOUT_MS);
  await world.run(REST_MS);
  world.heal();
  const healed = (): boolean =>
    world.liveNodes.every(
      n => n.controlPlane.member.membership.cutDomains.length === 0,
    ) && world.isConverged;
  const healedMs = await world.runUntil(healed, TIMEOUT_MS);
  const falseDeaths = world.statusChanges.filter(s =>
    s.endsWith('dead'),
  ).length;
  return {knownMs, healedMs, falseDeaths};
}

async function measureRegionPartition(world: FleetSimulation): Promise<{
  knownMs: number | undefined;
  healedMs: number | undefined;
  falseDeaths: number;
}> {
  world.statusChanges.length = 0;
  world.cutRegions();
  const unreachableDomains = DOMAINS / REGIONS;
  const cutCount = (count: number) => (): boolean =>
    world.liveNodes.every(
      n => n.controlPlane.member.membership.cutDomains.length === count,
    );
  const knownMs = await world.runUntil(
    cutCount(unreachableDomains),
    TIMEOUT_MS,
  );
  await world.run(REST_MS);
  world.heal();
  const healed = (): boolean => cutCount(0)() && world.isConverged;
  const healedMs = await world.runUntil(healed, TIMEOUT_MS);
  const falseDeaths = world.statusChanges.filter(s =>
    s.endsWith('dead'),
  ).length;
  return {knownMs, healedMs, falseDeaths};
}

// The outage lasts long enough for every watch to fail.
async function measureOutageEnd(world: FleetSimulation): Promise<number> {
  const OUTAGE_MS = 30_000;
  world.storeMode = 'down';
  await world.run(OUTAGE_MS);
  const {counts} = world.platform;
  const before = counts.reads + counts.writes + counts.watches;
  world.storeMode = 'up';
  await world.run(1_000);
  return counts.reads + counts.writes + counts.watches - before;
}
