/** What the parts of a trial of calls share. */
import type {CallHandler, GateTask} from '@goldcresthill/node';
import type {ServiceRouter} from '@goldcresthill/routing';
import {seededRandom, VirtualClock} from '@goldcresthill/test-utils';
import type {VirtualTimers} from '@goldcresthill/test-utils';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import type {NodeAddress, ServiceRules} from '@goldcresthill/types';
import type {FaultPlan} from './faults';
import {CallGuaranteeChecker} from './oracle';

/** One VM: a node and its server. */
export interface SimulatedNode {
  readonly index: number;
  readonly address: NodeAddress;
  readonly timers: VirtualTimers;
  readonly handler: CallHandler;
  readonly gate: GateTask;
  readonly router: ServiceRouter;
  server: SimulatedServer;
}

/** A server process; it goes on when its node dies. */
export interface SimulatedServer {
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
const LATE_MIN_DELAY_MS = 100;
const LATE_DELAY_SPREAD_MS = 2_500;
const MAX_TRACE_LINES = 60;

/** Clock, chance, oracle and the VMs of one trial. */
export class SimulationState {
  readonly clock = new VirtualClock();
  readonly checker = new CallGuaranteeChecker();
  readonly random: () => number;
  readonly nodes: SimulatedNode[] = [];
  readonly trace: string[] = [];
  /** Server processes that came after a node's first. */
  readonly restartedServers = new Map<string, SimulatedServer>();
  runCount = 0;
  failure: unknown;

  constructor(
    seed: number,
    readonly faults: FaultPlan,
  ) {
    this.random = seededRandom(seed);
  }

  node(nodeId: string): SimulatedNode | undefined {
    return this.nodes.find(node => node.address.nodeId === nodeId);
  }

  /** The server process on a node's VM now. */
  currentServer(nodeId: string, first: SimulatedServer): SimulatedServer {
    return this.restartedServers.get(nodeId) ?? first;
  }

  /** Keeps the first thing that went wrong. */
  recordFailure(err: unknown): void {
    this.failure ??= err;
  }

  /** Runs a check of the oracle. */
  check(assertion: () => void): void {
    try {
      assertion();
    } catch (err) {
      this.recordFailure(err);
    }
  }

  delayMs(): number {
    return MIN_DELAY_MS + this.random() * DELAY_SPREAD_MS;
  }

  lateDelayMs(): number {
    return LATE_MIN_DELAY_MS + this.random() * LATE_DELAY_SPREAD_MS;
  }

  addTrace(line: string): void {
    this.trace.push(`${this.clock.now.toFixed(1)} ${line}`);
    if (this.trace.length > MAX_TRACE_LINES) this.trace.shift();
  }
}
