/** Simulates change tickets: concurrent operators, store faults, network cuts, pauses and restarts. */
import {
  CONFIGURATION_PATH,
  parseConfiguration,
  parseTicket,
  acceptTicket,
  EMPTY_CONFIGURATION,
} from '@goldcresthill/tickets';
import type {Configuration, Ticket, TicketAnswer} from '@goldcresthill/tickets';
import {GuaranteeError} from '../call/guarantee_checker';
import {FleetSimulation} from '../member/fleet_simulation';
import type {SimulatedStore} from '../call/simulated_store';

/** Options of runTicketTrial. */
export interface TicketTrialOptions {
  readonly seed: number;
  readonly domains?: number;
  readonly nodesPerDomain?: number;
  readonly tickets?: number;
  /**
   * Mean number of faults per trial; each round of tickets injects one with
   * probability faultCount / tickets.
   */
  readonly faultCount?: number;
  /** Operators resolve a lost answer by a read instead of settling the write, which is unsafe. */
  readonly useReadBack?: boolean;
}

/** Counts of the tickets of a trial by their result. */
export interface TicketTrialResult {
  readonly accepted: number;
  readonly refused: number;
  readonly undetermined: number;
  /**
   * Time until the newest revision was in force on all nodes, counted from when
   * faults had ended and submissions were settled.
   */
  readonly inForceMs: number;
}

const SERVICES = ['orders', 'stock', 'dispatch'];
const JOIN_TIME_MS = 6_000;
const SUBMISSION_INTERVAL_MS = 1_200;
const FAULT_DURATION_MS = 4_000;
/** Time within which a ticket must be in force on all nodes, once they can reach each other. */
const IN_FORCE_LIMIT_MS = 15_000;
const CHECK_INTERVAL_MS = 200;

interface AcceptedTicket {
  readonly ticket: Ticket;
  readonly revision: number;
}

/** Runs one trial. Rejects with a GuaranteeError when a guarantee about tickets is violated. */
export async function runTicketTrial(
  options: TicketTrialOptions,
): Promise<TicketTrialResult> {
  return new TicketTrialRun(options).run();
}

class TicketTrialRun {
  private readonly fleet: FleetSimulation;
  private readonly configurations = new Map<number, Configuration>();
  private readonly accepted: AcceptedTicket[] = [];
  private readonly refused: Ticket[] = [];
  private readonly highestTickets = new Map<string, number>();
  private undetermined = 0;
  private readonly openSubmissions = new Set<{isLost: () => boolean}>();

  constructor(private readonly options: TicketTrialOptions) {
    this.fleet = new FleetSimulation({
      seed: options.seed,
      domains: options.domains ?? 3,
      nodesPerDomain: options.nodesPerDomain ?? 3,
      loss: 0.02,
    });
    this.recordRevisions();
  }

  async run(): Promise<TicketTrialResult> {
    this.fleet.startAll();
    await this.fleet.run(JOIN_TIME_MS);
    const tickets = this.options.tickets ?? 8;
    for (let i = 0; i < tickets; i++) {
      this.submitConcurrently(i);
      await this.injectFaultAtRandom();
      await this.runWithChecks(SUBMISSION_INTERVAL_MS);
    }
    this.endFaults();
    const inForceMs = await this.waitUntilInForce();
    this.checkRefused();
    return {
      accepted: this.accepted.length,
      refused: this.refused.length,
      undetermined: this.undetermined,
      inForceMs,
    };
  }

  private recordRevisions(): void {
    this.fleet.platform.watch(CONFIGURATION_PATH, object => {
      const parsed = parseConfiguration(object.value);
      if (parsed.isErr())
        throw new GuaranteeError('configuration', parsed.error);
      const {revision} = parsed.value;
      if (this.configurations.has(revision)) {
        throw new GuaranteeError(
          'oneHistory',
          `revision ${revision} was written twice`,
        );
      }
      this.configurations.set(revision, parsed.value);
    });
  }

  // One or two operators submit tickets at the same time; two have different
  // tickets, some with the same number.
  private submitConcurrently(round: number): void {
    const submissionCount = this.fleet.random() < 0.5 ? 2 : 1;
    for (let i = 0; i < submissionCount; i++) {
      const number = round * 2 + 1 + (this.fleet.random() < 0.5 ? i : 0);
      const ticket = this.createTicket(number);
      const liveNodes = this.fleet.liveNodes;
      const node =
        liveNodes[Math.floor(this.fleet.random() * liveNodes.length)];
      if (node === undefined) continue;
      const {timers} = node;
      const openSubmission = {isLost: () => timers.isDead};
      this.openSubmissions.add(openSubmission);
      const submission = this.options.useReadBack
        ? submitWithReadBack(node.store, ticket)
        : this.fleet.submit(node.index, ticket);
      void submission.then(answer => {
        this.openSubmissions.delete(openSubmission);
        this.recordAnswer(ticket, answer);
      });
    }
  }

  private recordAnswer(ticket: Ticket, answer: TicketAnswer): void {
    switch (answer.type) {
      case 'accepted':
        this.accepted.push({ticket, revision: answer.revision});
        return;
      case 'already':
        return;
      case 'refused':
        this.refused.push(ticket);
        return;
      case 'undetermined':
        this.undetermined++;
        return;
    }
  }

  private createTicket(number: number): Ticket {
    const changed = SERVICES.filter(() => this.fleet.random() < 0.6);
    const services = changed.length === 0 ? SERVICES : changed;
    const deadline = 1_000 + Math.floor(this.fleet.random() * 1_000);
    const sections = services.map(
      name => `[service ${name}]\ndeadline_ms = ${deadline}\n`,
    );
    const parsed = parseTicket(
      `[ticket]\nnumber = ${number}\n${sections.join('')}`,
    );
    if (parsed.isErr()) throw new Error('the generated ticket is invalid');
    return parsed.value;
  }

  private async injectFaultAtRandom(): Promise<void> {
    const probability =
      (this.options.faultCount ?? 4) / (this.options.tickets ?? 8);
    if (this.fleet.random() > probability) return;
    const {fleet} = this;
    const kind = Math.floor(fleet.random() * 8);
    const index = Math.floor(fleet.random() * fleet.nodes.length);
    const domain = `d${Math.floor(fleet.random() * fleet.options.domains)}`;
    const {clock} = fleet;
    if (kind === 0) this.setStoreMode('down');
    if (kind === 1) this.setStoreMode('losesAnswers');
    if (kind === 2) this.setStoreMode('late');
    if (kind === 3) fleet.pause(index, FAULT_DURATION_MS * 2);
    if (kind === 4) fleet.cut(domain);
    if (kind === 5) fleet.cutOneWay(domain);
    if (kind === 4 || kind === 5)
      clock.after(FAULT_DURATION_MS, () => fleet.heal());
    if (kind === 6) this.restart(index);
    if (kind === 7) {
      // A node restarts with empty state while the store is down.
      this.setStoreMode('down');
      this.restart(index);
    }
  }

  private setStoreMode(mode: 'down' | 'losesAnswers' | 'late'): void {
    this.fleet.storeMode = mode;
    this.fleet.clock.after(
      FAULT_DURATION_MS,
      () => (this.fleet.storeMode = 'up'),
    );
  }

  private restart(index: number): void {
    this.fleet.kill(index);
    for (const name of SERVICES) this.highestTickets.delete(`${index} ${name}`);
    this.fleet.boot(index, 200);
  }

  private async runWithChecks(durationMs: number): Promise<void> {
    for (
      let elapsedMs = 0;
      elapsedMs < durationMs;
      elapsedMs += CHECK_INTERVAL_MS
    ) {
      await this.fleet.run(CHECK_INTERVAL_MS);
      this.fleet.liveNodes.forEach(node => this.checkNode(node.index));
    }
  }

  private checkNode(index: number): void {
    const current = this.fleet.node(index).controlPlane.config.current;
    if (current.revision > 0) this.checkRevision(index, current);
    for (const [name, entry] of Object.entries(current.services)) {
      const highest = this.highestTickets.get(`${index} ${name}`) ?? 0;
      if (entry.ticket < highest) {
        throw new GuaranteeError(
          'neverReverts',
          `n${index} ${name} from ${highest} to ${entry.ticket}`,
        );
      }
      this.highestTickets.set(`${index} ${name}`, entry.ticket);
    }
  }

  // A node's configuration must match, in all services, what the store held at that revision.
  private checkRevision(index: number, current: Configuration): void {
    const written = this.configurations.get(current.revision);
    if (written === undefined) {
      throw new GuaranteeError(
        'oneHistory',
        `n${index} holds revision ${current.revision}, which was never written`,
      );
    }
    const same = SERVICES.every(name => {
      const actual = current.services[name];
      const expected = written.services[name];
      return (
        actual?.ticket === expected?.ticket &&
        actual?.rules?.deadlineMs === expected?.rules?.deadlineMs
      );
    });
    if (!same) {
      throw new GuaranteeError(
        'together',
        `n${index} mixes services of several revisions at revision ${current.revision}`,
      );
    }
  }

  // A submission through a node that died gets no answer.
  private get areSubmissionsSettled(): boolean {
    return [...this.openSubmissions].every(entry => entry.isLost());
  }

  private endFaults(): void {
    this.fleet.heal();
    this.fleet.storeMode = 'up';
  }

  private async waitUntilInForce(): Promise<number> {
    const {fleet} = this;
    const isInForceEverywhere = (): boolean => {
      const newest = Math.max(0, ...this.configurations.keys());
      return this.areSubmissionsSettled && fleet.allAtRevision(newest);
    };
    // The last submissions may still be settling; the limit counts from when they are settled.
    await fleet.runUntil(
      () => this.areSubmissionsSettled,
      2 * IN_FORCE_LIMIT_MS,
    );
    const inForceMs = await fleet.runUntil(
      isInForceEverywhere,
      IN_FORCE_LIMIT_MS,
    );
    if (inForceMs === undefined) {
      const revisions = fleet.liveNodes.map(
        n => n.controlPlane.config.current.revision,
      );
      throw new GuaranteeError(
        'inForce',
        `revisions ${revisions.join(' ')} after ${IN_FORCE_LIMIT_MS} ms`,
      );
    }
    for (const {ticket, revision} of this.accepted)
      this.checkAccepted(ticket, revision);
    fleet.liveNodes.forEach(node => this.checkNode(node.index));
    return inForceMs;
  }

  private checkAccepted(ticket: Ticket, revision: number): void {
    const written = this.configurations.get(revision);
    for (const [name] of ticket.services) {
      if (written?.services[name]?.ticket !== ticket.number) {
        throw new GuaranteeError(
          'accepted',
          `ticket ${ticket.number} is not in revision ${revision}`,
        );
      }
    }
  }

  private checkRefused(): void {
    for (const ticket of this.refused) {
      for (const written of this.configurations.values()) {
        const isRecorded = written.recent.some(
          r => r.number === ticket.number && r.digest === ticket.digest,
        );
        if (isRecorded) {
          throw new GuaranteeError(
            'refused',
            `ticket ${ticket.number} was refused but was written to the configuration`,
          );
        }
      }
    }
  }
}

/**
 * Submits a ticket in an unsafe way, to show that the checks detect it: after a
 * lost answer, one read decides whether the write took effect, although it may
 * still take effect later.
 */
async function submitWithReadBack(
  store: SimulatedStore,
  ticket: Ticket,
): Promise<TicketAnswer> {
  const undetermined = {
    type: 'undetermined',
    kind: 'storeUnavailable',
  } as const;
  const found = await store.get(CONFIGURATION_PATH);
  if (found.isErr()) return undetermined;
  const current = readConfiguration(found.value?.value);
  const result = acceptTicket(current, ticket);
  if (result.type === 'refused') return result;
  if (result.type === 'already')
    return {type: 'already', revision: current.revision};
  const {configuration} = result;
  const version = found.value?.version ?? 0;
  const put = await store.put(
    CONFIGURATION_PATH,
    JSON.stringify(configuration),
    version,
  );
  if (put.isOk()) return {type: 'accepted', revision: configuration.revision};
  const reread = await store.get(CONFIGURATION_PATH);
  if (reread.isErr()) return undetermined;
  const latest = readConfiguration(reread.value?.value);
  const wasWritten = latest.recent.some(r => r.digest === ticket.digest);
  if (wasWritten) return {type: 'already', revision: latest.revision};
  return {type: 'refused', kind: 'ticketConflict', service: '', inForce: 0};
}

function readConfiguration(text: string | undefined): Configuration {
  if (text === undefined) return EMPTY_CONFIGURATION;
  return parseConfiguration(text).unwrapOr(EMPTY_CONFIGURATION);
}
