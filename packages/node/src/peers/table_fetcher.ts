/** Reads the whole table of members from a neighbour while this node is new. */
import {decodeRecords} from '@goldcresthill/peers';
import type {MemberRecord} from '@goldcresthill/membership';
import type {Logger} from '@goldcresthill/logger';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {NodeAddress} from '@goldcresthill/types';

/** What a fetcher starts from. */
export interface TableFetcherOptions {
  readonly self: NodeAddress;
  readonly timers: Timers;
  readonly logger: Logger;
  readonly random: () => number;
  /** Nodes that are thought to be alive. */
  readonly reachable: () => readonly NodeAddress[];
  /** Reads the table of a node; undefined if it cannot be had. */
  readonly fetch: (from: NodeAddress) => Promise<string | undefined>;
  readonly onRecords: (records: readonly MemberRecord[]) => void;
}

/** Instants after the first table at which another is read, as nodes that start together know little, milliseconds. */
const AGAIN_MS = [1_500, 4_000, 8_000];
/** Share by which these instants are spread. */
const SPREAD_SHARE = 0.3;
/** Wait before another neighbour is tried, milliseconds. */
const RETRY_MS = 300;
const MAX_TRIES = 5;

/** Bytes within a domain cost nothing, so that the neighbour is one of the own domain if there is one. */
export class TableFetcher {
  private started = false;
  private closed = false;
  private readonly pending: Cancel[] = [];

  constructor(private readonly options: TableFetcherOptions) {}

  /** There may be neighbours now. */
  noteMembers(): void {
    if (this.started || this.options.reachable().length < 2) return;
    this.started = true;
    void this.fetch();
    const {timers, random} = this.options;
    for (const delayMs of AGAIN_MS) {
      const spread = 1 + SPREAD_SHARE * random();
      this.pending.push(
        timers.after(delayMs * spread, () => void this.fetch()),
      );
    }
  }

  close(): void {
    this.closed = true;
    this.pending.forEach(cancel => cancel());
  }

  private async fetch(): Promise<void> {
    const {timers, logger, fetch, onRecords} = this.options;
    for (let i = 0; i < MAX_TRIES && !this.closed; i++) {
      const from = this.draw();
      if (from === undefined) return;
      const text = await fetch(from);
      if (this.closed) return;
      if (text !== undefined) {
        const records = decodeRecords(text);
        const {nodeId} = from;
        logger.info('membersRead', {from: nodeId, records: records.length});
        onRecords(records);
        return;
      }
      await timers.pause(RETRY_MS);
    }
  }

  private draw(): NodeAddress | undefined {
    const {self, reachable, random} = this.options;
    const others = reachable().filter(n => n.nodeId !== self.nodeId);
    const near = others.filter(n => n.domain === self.domain);
    const from = near.length > 0 ? near : others;
    return from[Math.floor(random() * from.length)];
  }
}
