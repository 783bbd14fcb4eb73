/** Reads the whole table of members from a neighbour while this node is new. */
import {decodeRecords} from '@goldcresthill/peers';
import type {MemberRecord} from '@goldcresthill/membership';
import type {Logger} from '@goldcresthill/logger';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {NodeAddress} from '@goldcresthill/types';

/** What a fetcher starts from. */
export interface MemberTableFetcherOptions {
  readonly self: NodeAddress;
  readonly timers: Timers;
  readonly logger: Logger;
  readonly random: () => number;
  /** Nodes that are thought to be alive. */
  readonly reachable: () => readonly NodeAddress[];
  /** Reads the table of a node; undefined if it cannot be had. */
  readonly fetchTable: (from: NodeAddress) => Promise<string | undefined>;
  readonly onRecords: (records: readonly MemberRecord[]) => void;
}

/** Wait before another table is read, as nodes that start together know little, milliseconds. */
const FETCH_INTERVAL_MS = 700;
/** Tables read even if they bring nothing new. */
const MIN_TABLES = 4;
const MAX_TABLES = 8;
/** Nodes of a domain that read a table of another one each time, on average; the rest has it from them. */
const CROSS_DOMAIN_READERS = 4;
/** Share by which these waits are spread. */
const JITTER_FRACTION = 0.3;
/** Wait before another neighbour is tried, milliseconds. */
const RETRY_DELAY_MS = 300;
const MAX_TRIES = 5;

/** Bytes within a domain cost nothing, so that most neighbours are of the own one. */
export class MemberTableFetcher {
  private started = false;
  private closed = false;
  private cancelNext: Cancel | undefined;

  constructor(private readonly options: MemberTableFetcherOptions) {}

  /** There may be neighbours now. */
  onMembersChanged(): void {
    if (this.started || this.options.reachable().length < 2) return;
    this.started = true;
    void this.fetchTables(1);
  }

  close(): void {
    this.closed = true;
    this.cancelNext?.();
  }

  // Until a table brings nothing new, and some more in case a neighbour was new itself.
  private async fetchTables(tableNumber: number): Promise<void> {
    const {timers, random, reachable} = this.options;
    const knownBefore = reachable().length;
    await this.fetchOneTable();
    const foundNodes = reachable().length > knownBefore;
    const shouldContinue = foundNodes || tableNumber < MIN_TABLES;
    if (this.closed || !shouldContinue || tableNumber >= MAX_TABLES) return;
    const jitter = 1 + JITTER_FRACTION * random();
    this.cancelNext = timers.after(FETCH_INTERVAL_MS * jitter, () => {
      void this.fetchTables(tableNumber + 1);
    });
  }

  private async fetchOneTable(): Promise<void> {
    const {timers, logger, fetchTable, onRecords} = this.options;
    for (let i = 0; i < MAX_TRIES && !this.closed; i++) {
      const from = this.pickNode();
      if (from === undefined) return;
      const text = await fetchTable(from);
      if (this.closed) return;
      if (text !== undefined) {
        const records = decodeRecords(text);
        const {nodeId} = from;
        logger.info('membersRead', {from: nodeId, records: records.length});
        onRecords(records);
        return;
      }
      await timers.sleep(RETRY_DELAY_MS);
    }
  }

  private pickNode(): NodeAddress | undefined {
    const {self, reachable, random} = this.options;
    const others = reachable().filter(n => n.nodeId !== self.nodeId);
    const sameDomain = others.filter(n => n.domain === self.domain);
    const otherDomains = others.filter(n => n.domain !== self.domain);
    const crossesDomains =
      random() * sameDomain.length < CROSS_DOMAIN_READERS &&
      otherDomains.length > 0;
    const candidates = crossesDomains ? otherDomains : sameDomain;
    return candidates[Math.floor(random() * candidates.length)];
  }
}
