/** State that the parts of a call simulation share. */
import type {CallHandler, GateTask} from '@goldcresthill/node';
import type {ServiceRouter} from '@goldcresthill/routing';
import {seededRandom, VirtualClock} from '@goldcresthill/test-utils';
import type {VirtualTimers} from '@goldcresthill/test-utils';
import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import type {NodeAddress, ServiceRules} from '@goldcresthill/types';
import type {FaultPlan} from './faults';
import {CallGuaranteeChecker} from './guarantee_checker';

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

/** A server process; it keeps running when the node on its VM dies. */
export interface SimulatedServer {
  readonly instance: string;
  dead: boolean;
  draining: boolean;
  readonly timers: VirtualTimers;
}

/** The only service of a call trial. */
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

/** Clock, random numbers, guarantee checker, trace and VMs of one trial. */
export class SimulationState {
  readonly clock = new VirtualClock();
  readonly checker = new CallGuaranteeChecker();
  readonly random: () => number;
  readonly nodes: SimulatedNode[] = [];
  readonly trace: string[] = [];
  /** By node ID, the server process that replaced the first one on the node's VM. */
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

  /** Returns the server process that now runs on a node's VM; `first` is the one that it started with. */
  currentServer(nodeId: string, first: SimulatedServer): SimulatedServer {
    return this.restartedServers.get(nodeId) ?? first;
  }

  /** Records a failure of the trial; only the first is kept. */
  recordFailure(err: unknown): void {
    this.failure ??= err;
  }

  /** Runs an assertion of the checker and records its error as the trial's failure. */
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
