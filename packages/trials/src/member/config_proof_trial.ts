/** Simulates a fleet with strict revocation and checks that no node relies on a configuration for too long. */
import type {
  SidecarSimulationNode,
  SidecarSimulationOptions,
} from './sidecar_simulation';
import {SidecarSimulation} from './sidecar_simulation';

/** Disturbance of one node, or of all where it says so. */
export type ProofFault =
  | {
      readonly type: 'pause' | 'suspend' | 'isolate';
      readonly node: number;
      readonly ms: number;
    }
  | {
      readonly type: 'storeDown' | 'storeSilent';
      readonly node: number | 'all';
      readonly ms: number;
    }
  | {readonly type: 'stepWall'; readonly node: number; readonly ms: number}
  | {readonly type: 'restart'; readonly node: number}
  | {readonly type: 'change'}
  | {readonly type: 'wait'; readonly ms: number};

/** Result of the samples of a trial. */
export interface ProofSamples {
  /** Samples of running nodes, each as a request that has just been sent. */
  total: number;
  /** Samples at which a node had no proof and would have refused the request. */
  refused: number;
  /** Samples at which a node would have served a request by a configuration that was replaced too long ago. */
  readonly broken: string[];
}

/** Interval of samples, milliseconds. */
export const SAMPLE_MS = 50;

/** A fleet whose nodes are sampled each 50 ms. */
export class ConfigProofTrial {
  readonly fleet: SidecarSimulation;
  readonly samples: ProofSamples = {total: 0, refused: 0, broken: []};
  /** Times at which versions were acknowledged, by version. */
  private readonly acknowledgedAt = new Map<number, number>();

  constructor(private readonly options: SidecarSimulationOptions) {
    this.fleet = new SidecarSimulation(options);
    this.change();
    this.fleet.startAll();
  }

  /** Runs and samples the nodes. */
  async run(durationMs: number): Promise<void> {
    const {fleet} = this;
    const endsAt = fleet.clock.now + durationMs;
    while (fleet.clock.now < endsAt) {
      await fleet.run(Math.min(SAMPLE_MS, endsAt - fleet.clock.now));
      fleet.liveNodes.forEach(node => this.sample(node));
    }
  }

  /** Calls to the store so far, all of the fleet. */
  get storeCalls(): number {
    return this.fleet.nodes.reduce((all, node) => all + node.store.callCost, 0);
  }

  /** Forgets the samples so far. */
  resetSamples(): void {
    Object.assign(this.samples, {total: 0, refused: 0});
  }

  async apply(fault: ProofFault): Promise<void> {
    const {fleet} = this;
    const {clock} = fleet;
    const later = (ms: number, run: () => void) => clock.after(ms, run);
    switch (fault.type) {
      case 'pause':
        fleet.node(fault.node).timers.pauseUntil(clock.now + fault.ms);
        return;
      case 'suspend':
        fleet.node(fault.node).timers.suspendUntil(clock.now + fault.ms);
        return;
      case 'stepWall':
        fleet.node(fault.node).timers.stepWall(fault.ms);
        return;
      case 'isolate': {
        const {nodeId} = fleet.node(fault.node).address;
        fleet.isolatedNodes.add(nodeId);
        later(fault.ms, () => fleet.isolatedNodes.delete(nodeId));
        return;
      }
      case 'storeDown':
      case 'storeSilent': {
        const nodes =
          fault.node === 'all' ? fleet.nodes : [fleet.node(fault.node)];
        const isSilent = fault.type === 'storeSilent';
        const ids = isSilent
          ? fleet.nodesWithSilentStore
          : fleet.nodesWithoutStore;
        if (isSilent) fleet.silenceStore(nodes);
        for (const {address} of nodes) {
          ids.add(address.nodeId);
          later(fault.ms, () => ids.delete(address.nodeId));
        }
        return;
      }
      case 'restart':
        fleet.kill(fault.node);
        fleet.boot(fault.node);
        return;
      case 'change':
        this.change();
        return;
      case 'wait':
        await this.run(fault.ms);
        return;
    }
  }

  private change(): void {
    const version = this.fleet.changeConfig();
    this.acknowledgedAt.set(version, this.fleet.clock.now);
  }

  // A request that is sent now may only be served by a configuration that was in force within the bound.
  private sample({timers, control, address}: SidecarSimulationNode): void {
    const {proof, configVersion} = control;
    if (timers.isPaused || proof === undefined) return;
    this.samples.total++;
    if (!proof.isProven()) {
      this.samples.refused++;
      return;
    }
    const replacedAt = this.acknowledgedAt.get(configVersion + 1) ?? Infinity;
    const {now} = this.fleet.clock;
    const {maxProofAgeMs = 0} = this.options;
    if (now > replacedAt + maxProofAgeMs) {
      this.samples.broken.push(
        `${address.nodeId} relies on version ${configVersion} at ${now}, replaced at ${replacedAt}`,
      );
    }
  }
}
