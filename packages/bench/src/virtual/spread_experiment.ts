/** Spreading among up to 920 nodes: the live decisions in one process, in virtual time. */
import {FleetSimulation} from '@goldcresthill/trials';
import {parseTicket} from '@goldcresthill/tickets';

/** What an experiment starts from. */
export interface SpreadExperimentOptions {
  readonly nodes: number;
  readonly seed: number;
  readonly onProgress: (line: string) => void;
}

/** Times in milliseconds; undefined where the bound passed. */
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
  readonly cutKnownMs: number | undefined;
  readonly cutHealedMs: number | undefined;
  /** The same for all domains of the other region at once. */
  readonly regionCutKnownMs: number | undefined;
  readonly regionHealedMs: number | undefined;
  readonly falseDeaths: number;
  readonly outageEndStoreCallsInFirstSecond: number;
}

const DOMAINS = 6;
const REGIONS = 2;
const BOUND_MS = 180_000;
const REST_MS = 5_000;

/** Runs the whole of it; takes minutes at 920 nodes. */
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
  const say = options.onProgress;
  world.startAll();
  const joinMs = await world.runUntil(() => world.isConverged, BOUND_MS, 500);
  say(`joined after ${joinMs} ms`);
  const rest = await measureTraffic(world, REST_MS);
  const store = world.platform.counts;
  const callsBefore = store.reads + store.writes + store.watches;
  await world.run(REST_MS);
  const restCalls = store.reads + store.writes + store.watches - callsBefore;
  const ticket = await spreadTicket(world);
  say(`ticket in force after ${ticket.ms} ms`);
  const death = await spreadDeath(world);
  say(`death known after ${death.ms} ms`);
  const cut = await cutDomain(world);
  say(`cut known after ${cut.knownMs} ms, healed after ${cut.healedMs} ms`);
  const region = await cutRegions(world);
  say(
    `region known after ${region.knownMs} ms, healed after ${region.healedMs} ms`,
  );
  const rush = await endOutage(world);
  return {
    nodes,
    joinMs,
    restBytesPerSecond: rest.bytes / nodes / (REST_MS / 1_000),
    restMessagesPerSecond: rest.messages / nodes / (REST_MS / 1_000),
    restStoreCallsPerSecond: restCalls / (REST_MS / 1_000),
    ticketMs: ticket.ms,
    ticketBytesPerNode: ticket.bytes / nodes,
    deathMs: death.ms,
    deathBytesPerNode: death.bytes / nodes,
    cutKnownMs: cut.knownMs,
    cutHealedMs: cut.healedMs,
    regionCutKnownMs: region.knownMs,
    regionHealedMs: region.healedMs,
    falseDeaths: cut.falseDeaths + region.falseDeaths,
    outageEndStoreCallsInFirstSecond: rush,
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

async function spreadTicket(
  world: FleetSimulation,
): Promise<{ms: number | undefined; bytes: number}> {
  const ticket = parseTicket('[ticket]\nnumber = 1\n[service a]\n');
  if (ticket.isErr())
    throw new Error('the ticket of the experiment has faults');
  const bytes = world.traffic.bytes;
  void world.submit(0, ticket.value);
  const ms = await world.runUntil(() => world.allAtRevision(1), BOUND_MS);
  return {ms, bytes: world.traffic.bytes - bytes};
}

async function spreadDeath(
  world: FleetSimulation,
): Promise<{ms: number | undefined; bytes: number}> {
  const bytes = world.traffic.bytes;
  world.kill(world.nodes.length - 1);
  const ms = await world.runUntil(() => world.isConverged, BOUND_MS);
  return {ms, bytes: world.traffic.bytes - bytes};
}

async function cutDomain(world: FleetSimulation): Promise<{
  knownMs: number | undefined;
  healedMs: number | undefined;
  falseDeaths: number;
}> {
  await world.run(REST_MS);
  world.statusChanges.length = 0;
  world.cut('d1');
  const others = world.liveNodes.filter(node => node.address.domain !== 'd1');
  const known = (): boolean =>
    others.every(n =>
      n.controlPlane.member.membership.cutDomains.includes('d1'),
    );
  const knownMs = await world.runUntil(known, BOUND_MS);
  await world.run(REST_MS);
  world.heal();
  const healed = (): boolean =>
    world.liveNodes.every(
      n => n.controlPlane.member.membership.cutDomains.length === 0,
    ) && world.isConverged;
  const healedMs = await world.runUntil(healed, BOUND_MS);
  const falseDeaths = world.statusChanges.filter(s =>
    s.endsWith('dead'),
  ).length;
  return {knownMs, healedMs, falseDeaths};
}

async function cutRegions(world: FleetSimulation): Promise<{
  knownMs: number | undefined;
  healedMs: number | undefined;
  falseDeaths: number;
}> {
  world.statusChanges.length = 0;
  world.cutRegions();
  const lost = DOMAINS / REGIONS;
  const cutCount = (count: number) => (): boolean =>
    world.liveNodes.every(
      n => n.controlPlane.member.membership.cutDomains.length === count,
    );
  const knownMs = await world.runUntil(cutCount(lost), BOUND_MS);
  await world.run(REST_MS);
  world.heal();
  const healed = (): boolean => cutCount(0)() && world.isConverged;
  const healedMs = await world.runUntil(healed, BOUND_MS);
  const falseDeaths = world.statusChanges.filter(s =>
    s.endsWith('dead'),
  ).length;
  return {knownMs, healedMs, falseDeaths};
}

// An outage long enough for every watch to end in a failure.
async function endOutage(world: FleetSimulation): Promise<number> {
  const OUTAGE_MS = 30_000;
  world.storeMode = 'down';
  await world.run(OUTAGE_MS);
  const {counts} = world.platform;
  const before = counts.reads + counts.writes + counts.watches;
  world.storeMode = 'up';
  await world.run(1_000);
  return counts.reads + counts.writes + counts.watches - before;
}
