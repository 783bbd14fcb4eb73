/** A trial of tickets: racing operators, a failing store, cuts, pauses and restarts. */
import {
  CONFIGURATION_PATH,
  parseConfiguration,
  parseTicket,
  acceptTicket,
  EMPTY_CONFIGURATION,
} from '@goldcresthill/tickets';
import type {Configuration, Ticket, TicketAnswer} from '@goldcresthill/tickets';
import {OracleError} from '../call/oracle';
import {FleetWorld} from '../member/fleet_world';
import type {WorldStore} from '../call/world_store';

/** What a trial starts from. */
export interface TicketTrialOptions {
  readonly seed: number;
  readonly domains?: number;
  readonly nodesPerDomain?: number;
  readonly tickets?: number;
  /** Disturbances at random moments. */
  readonly disturbances?: number;
  /** Operators read back after a lost answer instead of settling the write. */
  readonly readingBack?: boolean;
}

/** What came of a trial. */
export interface TicketTrial {
  readonly accepted: number;
  readonly refused: number;
  readonly undetermined: number;
  /** Longest time from a ticket's acceptance until it was in force everywhere, milliseconds. */
  readonly slowestMs: number;
}

const SERVICES = ['orders', 'stock', 'dispatch'];
const JOIN_MS = 6_000;
const GAP_MS = 1_200;
const DISTURBANCE_MS = 4_000;
/** A ticket is in force everywhere within this, once nodes can hear each other. */
const IN_FORCE_MS = 15_000;
const CHECK_MS = 200;

interface Accepted {
  readonly ticket: Ticket;
  readonly revision: number;
}

/** Runs one trial. Throws when a promise about tickets is broken. */
export async function runTicketTrial(
  options: TicketTrialOptions,
): Promise<TicketTrial> {
  return new TicketTrialRun(options).run();
}

class TicketTrialRun {
  private readonly world: FleetWorld;
  private readonly history = new Map<number, Configuration>();
  private readonly accepted: Accepted[] = [];
  private readonly refused: Ticket[] = [];
  private readonly highest = new Map<string, number>();
  private undetermined = 0;
  private readonly open = new Set<{lost: () => boolean}>();

  constructor(private readonly options: TicketTrialOptions) {
    this.world = new FleetWorld({
      seed: options.seed,
      domains: options.domains ?? 3,
      nodesPerDomain: options.nodesPerDomain ?? 3,
      loss: 0.02,
    });
    this.recordHistory();
  }

  async run(): Promise<TicketTrial> {
    this.world.startAll();
    await this.world.run(JOIN_MS);
    const tickets = this.options.tickets ?? 8;
    for (let i = 0; i < tickets; i++) {
      this.submitRacing(i);
      await this.disturbSometimes();
      await this.runChecked(GAP_MS);
    }
    this.settle();
    const slowestMs = await this.waitInForce();
    this.checkRefused();
    return {
      accepted: this.accepted.length,
      refused: this.refused.length,
      undetermined: this.undetermined,
      slowestMs,
    };
  }

  private recordHistory(): void {
    this.world.platform.watch(CONFIGURATION_PATH, object => {
      const parsed = parseConfiguration(object.value);
      if (parsed.isErr()) throw new OracleError('configuration', parsed.error);
      const {revision} = parsed.value;
      if (this.history.has(revision)) {
        throw new OracleError(
          'oneHistory',
          `revision ${revision} was written twice`,
        );
      }
      this.history.set(revision, parsed.value);
    });
  }

  // Two operators submit different tickets, some with the same number, at once.
  private submitRacing(round: number): void {
    const racers = this.world.random() < 0.5 ? 2 : 1;
    for (let i = 0; i < racers; i++) {
      const number = round * 2 + 1 + (this.world.random() < 0.5 ? i : 0);
      const ticket = this.makeTicket(number);
      const living = this.world.living;
      const node = living[Math.floor(this.world.random() * living.length)];
      if (node === undefined) continue;
      const {timers} = node;
      const entry = {lost: () => timers.isDead};
      this.open.add(entry);
      const submission = this.options.readingBack
        ? submitReadingBack(node.store, ticket)
        : this.world.submit(node.index, ticket);
      void submission.then(answer => {
        this.open.delete(entry);
        this.answered(ticket, answer);
      });
    }
  }

  private answered(ticket: Ticket, answer: TicketAnswer): void {
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

  private makeTicket(number: number): Ticket {
    const touched = SERVICES.filter(() => this.world.random() < 0.6);
    const services = touched.length === 0 ? SERVICES : touched;
    const deadline = 1_000 + Math.floor(this.world.random() * 1_000);
    const sections = services.map(
      name => `[service ${name}]\ndeadline_ms = ${deadline}\n`,
    );
    const parsed = parseTicket(
      `[ticket]\nnumber = ${number}\n${sections.join('')}`,
    );
    if (parsed.isErr()) throw new Error('a ticket of the trial has faults');
    return parsed.value;
  }

  private async disturbSometimes(): Promise<void> {
    const chance =
      (this.options.disturbances ?? 4) / (this.options.tickets ?? 8);
    if (this.world.random() > chance) return;
    const {world} = this;
    const kind = Math.floor(world.random() * 8);
    const index = Math.floor(world.random() * world.nodes.length);
    const domain = `d${Math.floor(world.random() * world.options.domains)}`;
    const {clock} = world;
    if (kind === 0) this.setWeather('down');
    if (kind === 1) this.setWeather('losesAnswers');
    if (kind === 2) this.setWeather('late');
    if (kind === 3) world.pause(index, DISTURBANCE_MS * 2);
    if (kind === 4) world.cut(domain);
    if (kind === 5) world.cutOneWay(domain);
    if (kind === 4 || kind === 5)
      clock.after(DISTURBANCE_MS, () => world.heal());
    if (kind === 6) this.restart(index);
    if (kind === 7) {
      // A node starts from nothing while the store is down.
      this.setWeather('down');
      this.restart(index);
    }
  }

  private setWeather(weather: 'down' | 'losesAnswers' | 'late'): void {
    this.world.weather = weather;
    this.world.clock.after(DISTURBANCE_MS, () => (this.world.weather = 'up'));
  }

  private restart(index: number): void {
    this.world.kill(index);
    for (const name of SERVICES) this.highest.delete(`${index} ${name}`);
    this.world.boot(index, 200);
  }

  private async runChecked(forMs: number): Promise<void> {
    for (let passed = 0; passed < forMs; passed += CHECK_MS) {
      await this.world.run(CHECK_MS);
      this.world.living.forEach(node => this.checkNode(node.index));
    }
  }

  private checkNode(index: number): void {
    const held = this.world.node(index).plane.config.current;
    if (held.revision > 0) this.checkHistory(index, held);
    for (const [name, entry] of Object.entries(held.services)) {
      const before = this.highest.get(`${index} ${name}`) ?? 0;
      if (entry.ticket < before) {
        throw new OracleError(
          'neverReverts',
          `n${index} ${name} from ${before} to ${entry.ticket}`,
        );
      }
      this.highest.set(`${index} ${name}`, entry.ticket);
    }
  }

  // What a node holds is what the store held at that revision, whole.
  private checkHistory(index: number, held: Configuration): void {
    const written = this.history.get(held.revision);
    if (written === undefined) {
      throw new OracleError(
        'oneHistory',
        `n${index} holds revision ${held.revision}, never written`,
      );
    }
    const same = SERVICES.every(name => {
      const a = held.services[name];
      const b = written.services[name];
      return (
        a?.ticket === b?.ticket && a?.rules?.deadlineMs === b?.rules?.deadlineMs
      );
    });
    if (!same) {
      throw new OracleError(
        'together',
        `n${index} holds a mixture at revision ${held.revision}`,
      );
    }
  }

  // An operator whose node died is not answered.
  private get isSettled(): boolean {
    return [...this.open].every(entry => entry.lost());
  }

  private settle(): void {
    this.world.heal();
    this.world.weather = 'up';
  }

  private async waitInForce(): Promise<number> {
    const {world} = this;
    const all = (): boolean => {
      const newest = Math.max(0, ...this.history.keys());
      return this.isSettled && world.allAtRevision(newest);
    };
    // The last submissions may still be settling; the bound counts from then on.
    await world.runUntil(() => this.isSettled, 2 * IN_FORCE_MS);
    const took = await world.runUntil(all, IN_FORCE_MS);
    if (took === undefined) {
      const held = world.living.map(n => n.plane.config.current.revision);
      throw new OracleError(
        'inForce',
        `revisions ${held.join(' ')} after ${IN_FORCE_MS} ms`,
      );
    }
    for (const {ticket, revision} of this.accepted)
      this.checkAccepted(ticket, revision);
    world.living.forEach(node => this.checkNode(node.index));
    return took;
  }

  private checkAccepted(ticket: Ticket, revision: number): void {
    const written = this.history.get(revision);
    for (const [name] of ticket.services) {
      if (written?.services[name]?.ticket !== ticket.number) {
        throw new OracleError(
          'accepted',
          `ticket ${ticket.number} is not in revision ${revision}`,
        );
      }
    }
  }

  private checkRefused(): void {
    for (const ticket of this.refused) {
      for (const written of this.history.values()) {
        const taken = written.recent.some(
          r => r.number === ticket.number && r.digest === ticket.digest,
        );
        if (taken) {
          throw new OracleError(
            'refused',
            `ticket ${ticket.number} is in force though refused`,
          );
        }
      }
    }
  }
}

/** The way that does not hold: a lost answer is taken for what a read shows. */
async function submitReadingBack(
  store: WorldStore,
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
  const again = await store.get(CONFIGURATION_PATH);
  if (again.isErr()) return undetermined;
  const held = readConfiguration(again.value?.value);
  const landed = held.recent.some(r => r.digest === ticket.digest);
  if (landed) return {type: 'already', revision: held.revision};
  return {type: 'refused', kind: 'ticketConflict', service: '', inForce: 0};
}

function readConfiguration(text: string | undefined): Configuration {
  if (text === undefined) return EMPTY_CONFIGURATION;
  return parseConfiguration(text).unwrapOr(EMPTY_CONFIGURATION);
}
