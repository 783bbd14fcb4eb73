/** What the parts of a trial of calls share. */
import type {CallHandler, GateTask} from '@goldcresthill/node';
import type {ServiceRouter} from '@goldcresthill/routing';
import {seededRandom, VirtualClock} from '@goldcresthill/test-utils';
import type {VirtualTimers} from '@goldcresthill/test-utils';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import type {NodeAddress, ServiceRules} from '@goldcresthill/types';
import type {FaultPlan} from './faults';
import {CallOracle} from './oracle';

/** One VM: a node and its server. */
export interface WorldNode {
  readonly index: number;
  readonly address: NodeAddress;
  readonly timers: VirtualTimers;
  readonly handler: CallHandler;
  readonly gate: GateTask;
  readonly router: ServiceRouter;
  server: WorldServer;
}

/** A server process; it goes on when its node dies. */
export interface WorldServer {
  readonly instance: string;
  dead: boolean;
  draining: boolean;
  readonly timers: VirtualTimers;
}

/** The one service of a trial. */
export const SERVICE = 'orders';
export const SHED_STATUS = 529;
export const DEADLINE_MS = 1_500;

export const RULES: ServiceRules = {
  ...DEFAULT_SERVICE_RULES,
  deadlineMs: DEADLINE_MS,
  warmUpMs: 0,
  silenceMs: 60,
  retryPercent: 100,
  hedgePercent: 20,
  shedStatuses: [SHED_STATUS],
};

const MIN_DELAY_MS = 0.2;
const DELAY_SPREAD_MS = 2;
const LATE_MIN_MS = 100;
const LATE_SPREAD_MS = 2_500;
const TRACE_LINES = 60;

/** Clock, chance, oracle and the VMs of one trial. */
export class WorldState {
  readonly clock = new VirtualClock();
  readonly oracle = new CallOracle();
  readonly random: () => number;
  readonly nodes: WorldNode[] = [];
  readonly trace: string[] = [];
  /** Server processes that came after a node's first. */
  readonly serverOf = new Map<string, WorldServer>();
  runs = 0;
  fault: unknown;

  constructor(
    seed: number,
    readonly faults: FaultPlan,
  ) {
    this.random = seededRandom(seed);
  }

  node(nodeId: string): WorldNode | undefined {
    return this.nodes.find(node => node.address.nodeId === nodeId);
  }

  /** The server process on a node's VM now. */
  currentServer(nodeId: string, first: WorldServer): WorldServer {
    return this.serverOf.get(nodeId) ?? first;
  }

  /** Keeps the first thing that went wrong. */
  failed(err: unknown): void {
    this.fault ??= err;
  }

  /** Runs a check of the oracle. */
  check(run: () => void): void {
    try {
      run();
    } catch (err) {
      this.failed(err);
    }
  }

  delay(): number {
    return MIN_DELAY_MS + this.random() * DELAY_SPREAD_MS;
  }

  lateness(): number {
    return LATE_MIN_MS + this.random() * LATE_SPREAD_MS;
  }

  note(line: string): void {
    this.trace.push(`${this.clock.now.toFixed(1)} ${line}`);
    if (this.trace.length > TRACE_LINES) this.trace.shift();
  }
}
