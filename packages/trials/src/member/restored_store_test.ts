import type {PlatformCopy} from '@goldcresthill/test-utils';
import {describe, expect, it} from 'vitest';
import {SidecarSimulation} from './sidecar_simulation';

/** Seeds in CI; more are run by hand with SOAK_SEEDS. */
const DEFAULT_SEEDS = 6;
const SEEDS = Number(process.env['SOAK_SEEDS'] ?? DEFAULT_SEEDS);
const SIZE = {domains: 3, nodes: 9};
const START_MS = 12_000;
const STEPS = 24;
const MAX_STEP_MS = 1_500;
/** Oldest copy from which the store is restored. */
const MAX_COPY_AGE_MS = 9_000;
const MAX_OUTAGE_MS = 2_000;
/** Longest duration of a watch, within which a restore is noticed although no watch is cut. */
const NOTICE_MS = 25_000;
const RECOVERY_MS = 15_000;

/** One run of random restores, restarts, changes, leavings and outages that overlap. */
class RestoreTrial {
  private readonly fleet: SidecarSimulation;
  private readonly copies: Array<{at: number; copy: PlatformCopy}> = [];
  /** Newest configuration version seen at each process of a node. */
  private readonly versions = new Map<object, number>();
  /** Leaving servers written by each process of a node. */
  private readonly leaving = new Map<object, string>();
  readonly steps: string[] = [];

  constructor(seed: number) {
    this.fleet = new SidecarSimulation({seed, ...SIZE, loss: 0.01});
  }

  async run(): Promise<void> {
    this.fleet.changeConfig();
    this.fleet.startAll();
    await this.fleet.run(START_MS);
    for (let step = 0; step < STEPS; step++) {
      this.copies.push({
        at: this.fleet.clock.now,
        copy: this.fleet.platform.copy(),
      });
      this.act();
      await this.runChecked(this.fleet.random() * MAX_STEP_MS);
    }
    this.fleet.nodesWithoutStore.clear();
    this.bootDeadNodes();
    this.fleet.rewriteConfig();
    await this.runChecked(NOTICE_MS + RECOVERY_MS);
  }

  /** State that must hold once all troubles have ended. */
  get end() {
    const {fleet} = this;
    const written = [...this.leaving].filter(([node]) =>
      fleet.liveNodes.some(live => live === node),
    );
    return {
      isConverged: fleet.isConverged,
      isInForce: fleet.isInForce(fleet.newestConfigVersion),
      lostLeavings: written
        .map(([, instance]) => instance)
        .filter(instance => !this.isInStore(instance)),
    };
  }

  private isInStore(instance: string): boolean {
    return this.fleet.platform.list('nodes/').some(({value}) => {
      const {leaving} = JSON.parse(value) as {leaving: string[]};
      return leaving.includes(instance);
    });
  }

  private act(): void {
    const {fleet} = this;
    const action = Math.floor(fleet.random() * 6);
    this.steps.push(`${Math.round(fleet.clock.now)}: ${action}`);
    switch (action) {
      case 0:
        fleet.changeConfig();
        return;
      case 1:
        this.restoreStore();
        return;
      case 2:
        this.restart(fleet.random() < 0.2 ? 1 : 0.4);
        return;
      case 3:
        this.announceLeaving();
        return;
      case 4:
        this.cutOffStore();
        return;
      default:
        fleet.changeConfig();
        this.restoreStore();
    }
  }

  private restoreStore(): void {
    const {fleet} = this;
    const since = fleet.clock.now - MAX_COPY_AGE_MS;
    const recent = this.copies.filter(({at}) => at >= since);
    const chosen = recent[Math.floor(fleet.random() * recent.length)];
    if (chosen === undefined) return;
    fleet.platform.restore(chosen.copy);
    fleet.clock.after(fleet.random() * MAX_OUTAGE_MS, () =>
      fleet.rewriteConfig(),
    );
  }

  private restart(share: number): void {
    const {fleet} = this;
    for (const {index} of [...fleet.liveNodes])
      if (fleet.random() < share) fleet.kill(index);
    fleet.clock.after(fleet.random() * MAX_STEP_MS, () => this.bootDeadNodes());
  }

  private bootDeadNodes(): void {
    for (const node of [...this.fleet.nodes])
      if (!node.alive) this.fleet.boot(node.index);
  }

  private announceLeaving(): void {
    const {fleet} = this;
    const nodes = fleet.liveNodes.filter(node => !this.leaving.has(node));
    const node = nodes[Math.floor(fleet.random() * nodes.length)];
    if (node === undefined) return;
    const instance = `i-${node.address.bootId}`;
    this.leaving.set(node, instance);
    void node.control.persistLeaving(instance);
  }

  private cutOffStore(): void {
    const {fleet} = this;
    const isCut = fleet.nodes.filter(() => fleet.random() < 0.5);
    const ids = isCut.map(({address}) => address.nodeId);
    ids.forEach(id => fleet.nodesWithoutStore.add(id));
    fleet.clock.after(fleet.random() * MAX_OUTAGE_MS, () =>
      ids.forEach(id => fleet.nodesWithoutStore.delete(id)),
    );
  }

  // No process may return to an older configuration than it has had in force.
  private async runChecked(durationMs: number): Promise<void> {
    const endsAt = this.fleet.clock.now + durationMs;
    while (this.fleet.clock.now < endsAt) {
      await this.fleet.run(Math.min(100, endsAt - this.fleet.clock.now));
      for (const node of this.fleet.liveNodes) {
        const {configVersion} = node.control;
        expect(configVersion).toBeGreaterThanOrEqual(
          this.versions.get(node) ?? 0,
        );
        this.versions.set(node, configVersion);
      }
    }
  }
}

describe('restores of the store that overlap with restarts, changes, leavings and outages', () => {
  // Configurations that came back older or were not in force, nodes that did not find each other, leavings that were forgotten.
  it.each(Array.from({length: SEEDS}, (_, i) => i + 1))(
    'lose nothing that a running node holds (seed %d)',
    async seed => {
      const trial = new RestoreTrial(seed);
      await trial.run();
      expect({...trial.end, steps: trial.steps}).toEqual({
        isConverged: true,
        isInForce: true,
        lostLeavings: [],
        steps: trial.steps,
      });
    },
  );
});
