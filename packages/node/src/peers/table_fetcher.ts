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

/** Wait before another table is read, as nodes that start together know little, milliseconds. */
const AGAIN_MS = 700;
/** Tables read even if they bring nothing new. */
const LEAST_TABLES = 4;
const MOST_TABLES = 8;
/** Nodes of a domain that read a table of another one each time, on average; the rest has it from them. */
const FAR_READERS = 4;
/** Share by which these waits are spread. */
const SPREAD_SHARE = 0.3;
/** Wait before another neighbour is tried, milliseconds. */
const RETRY_MS = 300;
const MAX_TRIES = 5;

/** Bytes within a domain cost nothing, so that most neighbours are of the own one. */
export class TableFetcher {
  private started = false;
  private closed = false;
  private pending: Cancel | undefined;

  constructor(private readonly options: TableFetcherOptions) {}

  /** There may be neighbours now. */
  noteMembers(): void {
    if (this.started || this.options.reachable().length < 2) return;
    this.started = true;
    void this.fetch(1);
  }

  close(): void {
    this.closed = true;
    this.pending?.();
  }

  // Until a table brings nothing new, and some more in case a neighbour was new itself.
  private async fetch(tables: number): Promise<void> {
    const {timers, random, reachable} = this.options;
    const known = reachable().length;
    await this.fetchOne();
    const isNews = reachable().length > known;
    const wanted = isNews || tables < LEAST_TABLES;
    if (this.closed || !wanted || tables >= MOST_TABLES) return;
    const spread = 1 + SPREAD_SHARE * random();
    this.pending = timers.after(AGAIN_MS * spread, () => {
      void this.fetch(tables + 1);
    });
  }

  private async fetchOne(): Promise<void> {
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
      await timers.sleep(RETRY_MS);
    }
  }

  private draw(): NodeAddress | undefined {
    const {self, reachable, random} = this.options;
    const others = reachable().filter(n => n.nodeId !== self.nodeId);
    const near = others.filter(n => n.domain === self.domain);
    const far = others.filter(n => n.domain !== self.domain);
    const crosses = random() * near.length < FAR_READERS && far.length > 0;
    const from = crosses ? far : near;
    return from[Math.floor(random() * from.length)];
  }
}
