/** Reads the complete member tables of other nodes after the start. */
import {runGuarded} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
import {decodeTable} from '@goldcresthill/peers';
import type {NodeTable} from '@goldcresthill/peers';
import type {Logger} from '@goldcresthill/logger';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {NodeAddress} from '@goldcresthill/types';

/** Options of MemberTableFetcher. */
export interface MemberTableFetcherOptions {
  readonly self: NodeAddress;
  readonly timers: Timers;
  readonly logger: Logger;
  readonly random: () => number;
  /** Returns the nodes that are believed to be alive. */
  readonly reachable: () => readonly NodeAddress[];
  /** Reads the encoded table of a node; resolves to undefined on failure. */
  readonly fetchTable: (from: NodeAddress) => Promise<string | undefined>;
  readonly onTable: (table: NodeTable) => void;
  readonly onFault: FaultListener;
}

/** Delay before the next table is read, milliseconds; nodes that start at the same time know few others at first. */
const FETCH_INTERVAL_MS = 700;
/** Tables read even if they contain no new nodes. */
const MIN_TABLES = 4;
const MAX_TABLES = 8;
/** Average number of nodes of a domain that read a table from another domain at a time; the others get its contents from them. */
const CROSS_DOMAIN_READERS = 4;
/** Largest random addition to the delay between tables, as a fraction of it. */
const JITTER_FRACTION = 0.3;
/** Delay before another node is tried, milliseconds. */
const RETRY_DELAY_MS = 300;
const MAX_TRIES = 5;

/** Reads mostly from nodes of the same domain, because traffic within a domain is free. */
export class MemberTableFetcher {
  private started = false;
  private closed = false;
  private cancelNext: Cancel | undefined;

  constructor(private readonly options: MemberTableFetcherOptions) {}

  /** Starts reading tables once another node is reachable. */
  onMembersChanged(): void {
    if (this.started || this.options.reachable().length < 2) return;
    this.started = true;
    this.startFetching(1);
  }

  close(): void {
    this.closed = true;
    this.cancelNext?.();
  }

  private startFetching(tableNumber: number): void {
    runGuarded(this.options.onFault, () => this.fetchTables(tableNumber));
  }

  // Stops when a table contains no new nodes, but reads a minimum number in case their senders have just started too.
  private async fetchTables(tableNumber: number): Promise<void> {
    const {timers, random, reachable} = this.options;
    const knownBefore = reachable().length;
    await this.fetchOneTable();
    const foundNodes = reachable().length > knownBefore;
    const shouldContinue = foundNodes || tableNumber < MIN_TABLES;
    if (this.closed || !shouldContinue || tableNumber >= MAX_TABLES) return;
    const jitter = 1 + JITTER_FRACTION * random();
    this.cancelNext = timers.after(FETCH_INTERVAL_MS * jitter, () => {
      this.startFetching(tableNumber + 1);
    });
  }

  private async fetchOneTable(): Promise<void> {
    const {timers, logger, fetchTable, onTable} = this.options;
    for (let i = 0; i < MAX_TRIES && !this.closed; i++) {
      const from = this.pickNode();
      if (from === undefined) return;
      const text = await fetchTable(from);
      if (this.closed) return;
      if (text !== undefined) {
        const table = decodeTable(text);
        logger.info('membersRead', {
          from: from.nodeId,
          records: table.records.length,
          updates: table.updates.length,
        });
        onTable(table);
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
