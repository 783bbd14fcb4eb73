/** Asks for tokens of capped accounts before their calls start, and grants them if this node is an allocator. */
import {runGuarded} from '@goldcresthill/errors';
import type {ClockReading} from '@goldcresthill/freshness';
import type {Logger} from '@goldcresthill/logger';
import type {Metrics} from '@goldcresthill/metrics';
import type {ObjectStore} from '@goldcresthill/object-store';
import type {
  GrantedDatagram,
  ProofEntry,
  TokensDatagram,
} from '@goldcresthill/peers';
import {
  AllocatorPlanner,
  allocatorOf,
  decodeAllocatorList,
  encodeAllocatorList,
  QuotaAccount,
  QuotaAllocator,
  QuotaTerms,
  UNAVAILABLE_RETRY_MS,
} from '@goldcresthill/quotas';
import type {
  AccountCap,
  AllocatorList,
  FleetView,
  QuotaBounds,
  QuotaCommand,
  QuotaOutcome,
  TokenGrant,
} from '@goldcresthill/quotas';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, NodeAddress} from '@goldcresthill/types';
import {ProofTask} from '../proofs/proof_task';
import type {RequestProofs} from '../proofs/proof_task';

/** Request of a gateway for tokens. */
export type TokensQuery = Pick<TokensDatagram, 'account' | 'count' | 'epoch'>;
/** Answer of an allocator. */
export type TokensAnswer = TokenGrant & Pick<GrantedDatagram, 'epoch'>;

/** Messages to other nodes; each may be lost. */
export interface QuotaLinks {
  /** Asks another node for tokens; `done` gets its answer unless none arrives. */
  readonly requestTokens: (
    to: NodeAddress,
    query: TokensQuery,
    done: (answer: TokensAnswer) => void,
  ) => void;
  readonly requestProofs: RequestProofs;
  /** Tells another node of the list of allocators. */
  readonly sendAllocators: (to: NodeAddress, list: AllocatorList) => void;
}

/** What the node knows of the others. */
export interface QuotaFleet {
  /** Nodes that are believed to be alive and reachable, including this one. */
  readonly reachable: () => readonly NodeAddress[];
  /** Returns the address of a node, reachable or not; undefined if it is not known. */
  readonly addressOf: (nodeId: string) => NodeAddress | undefined;
  /** Returns the number of nodes that have not left, alive or not. */
  readonly knownCount: () => number;
}

/** An account with a cap, as a call names it. */
export interface CappedAccount {
  readonly name: string;
  readonly ratePerSecond: number;
}

/** Options of QuotaTask. */
export interface QuotaTaskOptions {
  readonly address: NodeAddress;
  readonly timers: Timers;
  readonly random: () => number;
  readonly clocks: () => ClockReading;
  readonly store: ObjectStore;
  readonly links: QuotaLinks;
  readonly bounds: QuotaBounds;
  readonly fleet: QuotaFleet;
  readonly metrics: Metrics;
  readonly logger: Pick<Logger, 'info' | 'warn'>;
  readonly onFault: (err: unknown) => void;
}

/** Age of the proof up to which an allocator grants tokens, milliseconds. */
export const LEASE_MS = 2_000;
/** Path of the list of allocators in the store. */
const ALLOCATORS_PATH = 'allocators/main';
/** Interval at which a node checks whether it is to write a list or to read one, milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Shortest time between two reads of the list by a node that reaches no allocator, milliseconds. */
const REFRESH_INTERVAL_MS = 1_000;
/** Times at which a new list is sent to all nodes, milliseconds after it was written; datagrams may be lost. */
const ANNOUNCE_DELAYS_MS: readonly Millis[] = [0, 300, 1_000];

interface Waiter {
  readonly account: string;
  readonly done: (outcome: QuotaOutcome) => void;
}

/** Caps of client accounts at one node. Without a cap in the desired state it has no timer and sends nothing. */
export class QuotaTask {
  private readonly allocator: QuotaAllocator;
  private readonly planner: AllocatorPlanner;
  private readonly accounts = new Map<string, QuotaAccount>();
  private readonly waiters = new Map<number, Waiter>();
  private nextWaiter = 0;
  private readonly proof: ProofTask;
  private isActive = false;
  private cancelChecks: Cancel = () => undefined;
  private isStoreBusy = false;
  private refreshedAt: Millis = -Infinity;
  private needsRefresh = false;

  constructor(private readonly options: QuotaTaskOptions) {
    const {bounds, metrics} = options;
    const {nodeId} = options.address;
    this.proof = this.makeProof();
    this.allocator = new QuotaAllocator({
      nodeId,
      terms: new QuotaTerms(bounds, LEASE_MS),
      proof: {ageMs: () => this.listAgeMs},
      leaseMs: LEASE_MS,
    });
    this.planner = new AllocatorPlanner({nodeId, leaseMs: LEASE_MS});
    metrics.gauge('quota_epoch', {}, () => this.allocator.epoch);
    metrics.gauge('quota_waiting', {}, () => this.waiters.size);
    metrics.gauge('quota_tokens_held', {}, () => this.tokensHeld);
    metrics.gauge('quota_proof_age_ms', {}, () => this.proofAgeMs);
  }

  /** Puts the caps of a configuration into force. */
  setCaps(caps: ReadonlyMap<string, AccountCap>): void {
    this.allocator.setCaps(this.now, caps);
    for (const [name, account] of this.accounts) {
      const cap = caps.get(name);
      if (cap !== undefined) account.configure(cap.ratePerSecond);
      else if (account.isIdle(this.options.clocks()))
        this.accounts.delete(name);
    }
    if (caps.size > 0) this.start();
    else this.stop();
  }

  /**
   * Decides whether a request of a capped account may start; `done` is called
   * once, at once if a token is held. Returns a function that withdraws the request.
   */
  admit(
    {name, ratePerSecond}: CappedAccount,
    done: (outcome: QuotaOutcome) => void,
  ): Cancel {
    const account = this.accountOf(name, ratePerSecond);
    const waiter = this.nextWaiter++;
    this.waiters.set(waiter, {account: name, done});
    const clocks = this.options.clocks();
    this.execute(name, account, account.request(clocks, waiter));
    return () => {
      if (this.waiters.delete(waiter)) account.cancel(waiter);
    };
  }

  /** Answers a request for tokens. `sendList` is called with the newest list if the sender does not know it. */
  answerTokens(
    query: TokensQuery,
    sendList: (list: AllocatorList) => void,
  ): TokensAnswer {
    const {epoch, list} = this.allocator;
    if (query.epoch > epoch) this.requestRefresh();
    if (query.epoch < epoch && list !== undefined) sendList(list);
    return {...this.allocator.grant(this.now, query), epoch};
  }

  /** Puts a list of allocators into force unless a newer one is. */
  setList(list: AllocatorList): void {
    if (list.epoch <= this.allocator.epoch) return;
    this.allocator.setList(this.now, list);
    this.planner.setList(this.now, list);
    for (const account of this.accounts.values()) account.onNewAllocator();
    const {epoch, nodes} = list;
    this.options.logger.info('allocators', {epoch, nodes});
    this.updateProof();
  }

  /** Answers another node's query for proofs of store objects. */
  proofsOf(names: readonly string[]): ProofEntry[] {
    return this.proof.proofsOf(names);
  }

  close(): void {
    this.stop();
    for (const waiter of [...this.waiters.keys()])
      this.settle(waiter, {type: 'unavailable', retryAfterMs: 0});
  }

  private get now(): Millis {
    return this.options.timers.now();
  }

  /** Time since the list in force is known to have been the newest, milliseconds; Infinity if that is not known. */
  private get listAgeMs(): Millis {
    const {list} = this.allocator;
    // A restored store may have lost later lists, so one of an earlier era proves nothing.
    const isOfEra = list !== undefined && list.era >= this.options.store.era;
    return isOfEra ? this.proof.ageMs : Infinity;
  }

  /** Age of the proof, milliseconds; -1 without one. */
  private get proofAgeMs(): Millis {
    const ageMs = this.listAgeMs;
    return Number.isFinite(ageMs) ? Math.round(ageMs) : -1;
  }

  private get tokensHeld(): number {
    const clocks = this.options.clocks();
    let sum = 0;
    for (const account of this.accounts.values()) sum += account.tokens(clocks);
    return sum;
  }

  private start(): void {
    if (this.isActive) return;
    this.isActive = true;
    const {timers} = this.options;
    this.cancelChecks = timers.every(CHECK_INTERVAL_MS, () => this.check());
    this.updateProof();
    this.requestRefresh();
  }

  private stop(): void {
    this.isActive = false;
    this.cancelChecks();
    this.proof.setActive(false);
  }

  private makeProof(): ProofTask {
    const {address, clocks, links, logger, ...options} = this.options;
    return new ProofTask({
      ...options,
      self: address,
      name: ALLOCATORS_PATH,
      maxAgeMs: LEASE_MS,
      readClocks: clocks,
      request: links.requestProofs,
      queryStore: () => this.queryNewest(),
      heldRevision: () => this.allocator.epoch,
      onProven: (isProven, ageMs) =>
        logger.info(isProven ? 'leaseGained' : 'leaseLost', {
          epoch: this.allocator.epoch,
          ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        }),
    });
  }

  /** Only allocators need a proof; the first of them queries the store for the others. */
  private updateProof(): void {
    const {address, fleet} = this.options;
    const allocators = new Set(this.allocator.list?.nodes);
    this.proof.setNodes(fleet.reachable(), allocators);
    this.proof.setActive(this.isActive && allocators.has(address.nodeId));
  }

  /** Reads the newest list and puts it into force; resolves to its epoch, or to undefined if it proves nothing. */
  private async queryNewest(): Promise<number | undefined> {
    const {store} = this.options;
    const read = await store.get(ALLOCATORS_PATH);
    const object = read.unwrapOr(undefined);
    const list = object && decodeAllocatorList(object.value);
    if (list === undefined) return undefined;
    this.setList(list);
    return list.era >= store.era ? list.epoch : undefined;
  }

  private accountOf(name: string, ratePerSecond: number): QuotaAccount {
    const existing = this.accounts.get(name);
    if (existing !== undefined) return existing;
    const account = new QuotaAccount({ratePerSecond});
    this.accounts.set(name, account);
    return account;
  }

  private execute(
    name: string,
    account: QuotaAccount,
    commands: readonly QuotaCommand[],
  ): void {
    for (const command of commands) {
      if (command.type === 'settle')
        this.settle(command.waiter, command.outcome);
      else this.ask(name, account, command);
    }
  }

  private settle(id: number, outcome: QuotaOutcome): void {
    const waiter = this.waiters.get(id);
    if (waiter === undefined) return;
    this.waiters.delete(id);
    if (outcome.type !== 'admitted') {
      const {account} = waiter;
      const reason = outcome.type;
      this.options.metrics.count('quota_refused_total', {account, reason});
    }
    waiter.done(outcome);
  }

  private ask(
    name: string,
    account: QuotaAccount,
    {ref, count, timeoutMs}: QuotaCommand & {type: 'ask'},
  ): void {
    const {timers, clocks, links, address, fleet, metrics} = this.options;
    metrics.count('quota_queries_total');
    const {epoch, list} = this.allocator;
    const query = {account: name, count, epoch};
    const onAnswer = (answer: TokensAnswer): void => {
      if (answer.epoch > this.allocator.epoch) this.requestRefresh();
      this.execute(name, account, account.answer(clocks(), ref, answer));
    };
    const allocatorId = list && allocatorOf(name, list);
    if (allocatorId === address.nodeId) {
      onAnswer(this.answerTokens(query, () => undefined));
      return;
    }
    const to = allocatorId && fleet.addressOf(allocatorId);
    if (!to) {
      this.requestRefresh();
      const retryAfterMs = UNAVAILABLE_RETRY_MS;
      onAnswer({count: 0, validityMs: 0, retryAfterMs, epoch});
      return;
    }
    timers.after(timeoutMs, () => {
      const commands = account.expire(clocks(), ref);
      if (commands.some(({type}) => type === 'settle')) this.requestRefresh();
      this.execute(name, account, commands);
    });
    links.requestTokens(to, query, onAnswer);
  }

  private requestRefresh(): void {
    this.needsRefresh = true;
    this.runWithStore(() => this.refreshIfDue());
  }

  private check(): void {
    this.updateProof();
    this.runWithStore(async () => {
      await this.refreshIfDue();
      await this.writeIfDue();
    });
  }

  private runWithStore(run: () => Promise<void>): void {
    if (this.isStoreBusy || !this.isActive) return;
    this.isStoreBusy = true;
    runGuarded(this.options.onFault, () =>
      run().finally(() => (this.isStoreBusy = false)),
    );
  }

  private async refreshIfDue(): Promise<void> {
    const isMissing = this.allocator.list === undefined;
    if (!this.needsRefresh && !isMissing) return;
    if (this.now - this.refreshedAt < REFRESH_INTERVAL_MS) return;
    this.refreshedAt = this.now;
    this.needsRefresh = false;
    const read = await this.options.store.get(ALLOCATORS_PATH, {stale: true});
    if (read.isErr()) return;
    const list = read.value && decodeAllocatorList(read.value.value);
    if (list !== undefined) this.setList(list);
  }

  private async writeIfDue(): Promise<void> {
    if (this.plannedList() === undefined) return;
    const {store, logger} = this.options;
    const read = await store.get(ALLOCATORS_PATH);
    if (read.isErr()) return;
    const stored = read.value && decodeAllocatorList(read.value.value);
    if (stored !== undefined) this.setList(stored);
    // The stored list may be newer, and the era of the store may be known only now.
    const list = this.plannedList();
    if (list === undefined) return;
    const version = read.value?.version ?? 0;
    const text = encodeAllocatorList(list);
    const written = await store.put(ALLOCATORS_PATH, text, version);
    if (written.isErr()) {
      logger.warn('allocatorsNotWritten', {reason: written.error});
      return;
    }
    this.planner.recordWritten(this.fleetView);
    this.setList(list);
    this.announce(list);
  }

  private get fleetView(): FleetView {
    const {store, fleet} = this.options;
    return {
      reachable: fleet.reachable(),
      knownCount: fleet.knownCount(),
      storeEra: store.era,
      isKnown: nodeId => fleet.addressOf(nodeId) !== undefined,
    };
  }

  private plannedList(): AllocatorList | undefined {
    const {timers} = this.options;
    const view = this.fleetView;
    // A node that does not know others yet would list itself only.
    if (view.reachable.length <= 1 && this.allocator.list === undefined)
      return undefined;
    return this.planner.plan(timers.now(), timers.wall(), view);
  }

  private announce(list: AllocatorList): void {
    const {timers, fleet, address, links} = this.options;
    for (const delayMs of ANNOUNCE_DELAYS_MS) {
      timers.after(delayMs, () => {
        for (const node of fleet.reachable())
          if (node.nodeId !== address.nodeId) links.sendAllocators(node, list);
      });
    }
  }
}
