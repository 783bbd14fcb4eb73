/** Spreads confirmations of the configuration through the fleet. */
import {ownerOf, watchersOf} from '@goldcresthill/membership';
import type {Confirmation} from '@goldcresthill/membership';
import type {Millis, NodeAddress} from '@goldcresthill/types';

/** Sends a confirmation to a node; it may be lost. */
export type ConfirmationSender = (
  to: NodeAddress,
  confirmation: Confirmation,
) => void;

/** Options of ConfirmationRelay. */
export interface ConfirmationRelayOptions {
  readonly self: NodeAddress;
  readonly send: ConfirmationSender;
  /** Shortest time between two confirmations that are spread, milliseconds. */
  readonly intervalMs: Millis;
}

/** Nodes of each failure domain that watch the configuration in the store. */
const WATCHERS_PER_DOMAIN = 2;

/**
 * A node that the store has answered tells the chosen watchers, and each of
 * these tells its share of the other nodes of its failure domain. A node gets
 * one short message for each confirmation, whatever the size of the fleet.
 */
export class ConfirmationRelay {
  private watcherIds: ReadonlySet<string> = new Set();
  private watchers: readonly NodeAddress[] = [];
  private share: readonly NodeAddress[] = [];
  /** Time as of which the store's state was spread last. */
  private spreadAsOf: Millis = -Infinity;

  constructor(private readonly options: ConfirmationRelayOptions) {}

  /** Sets the reachable nodes, from which the watchers are chosen. */
  setNodes(reachable: readonly NodeAddress[]): void {
    const {self} = this.options;
    this.watcherIds = watchersOf(reachable, WATCHERS_PER_DOMAIN);
    const isWatcher = ({nodeId}: NodeAddress): boolean =>
      this.watcherIds.has(nodeId);
    this.watchers = reachable.filter(isWatcher);
    const inDomain = reachable.filter(({domain}) => domain === self.domain);
    const relays = inDomain.filter(isWatcher);
    this.share = inDomain.filter(
      node =>
        !isWatcher(node) &&
        ownerOf(`confirm|${node.nodeId}`, relays) === self.nodeId,
    );
  }

  /** IDs of the chosen watchers. */
  get watcherNodes(): ReadonlySet<string> {
    return this.watcherIds;
  }

  /** Spreads an answer of the store to this node. */
  spread(now: Millis, confirmation: Confirmation): void {
    if (!this.isNew(now, confirmation)) return;
    this.sendTo(this.watchers, confirmation);
    this.sendTo(this.share, confirmation);
  }

  /** Passes on a confirmation that another node has spread. */
  passOn(now: Millis, confirmation: Confirmation): void {
    if (this.share.length === 0 || !this.isNew(now, confirmation)) return;
    this.sendTo(this.share, confirmation);
  }

  /** Sends a confirmation for the sake of news that go with it: also to the watchers if this node is the first to know. */
  repeat(confirmation: Confirmation, isFirst: boolean): void {
    if (isFirst) this.sendTo(this.watchers, confirmation);
    this.sendTo(this.share, confirmation);
  }

  private isNew(now: Millis, {ageMs}: Confirmation): boolean {
    const asOf = now - ageMs;
    if (asOf - this.spreadAsOf < this.options.intervalMs) return false;
    this.spreadAsOf = asOf;
    return true;
  }

  private sendTo(
    nodes: readonly NodeAddress[],
    confirmation: Confirmation,
  ): void {
    const {self, send} = this.options;
    for (const node of nodes)
      if (node.nodeId !== self.nodeId) send(node, confirmation);
  }
}
