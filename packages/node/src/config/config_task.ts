/** Task that keeps the configuration in force and submits tickets. */
import type {ErrorKind} from '@goldcresthill/errors';
import type {
  ObjectStore,
  StoreBreaker,
  StoredObject,
} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import {
  CONFIGURATION_PATH,
  ConfigurationHolder,
  parseConfiguration,
  TicketSubmission,
} from '@goldcresthill/tickets';
import type {
  Configuration,
  SubmissionCommand,
  SubmissionEvent,
  Ticket,
  TicketAnswer,
} from '@goldcresthill/tickets';
import type {ConfigDelta} from '../member/peer_links';
import {Task} from '../task';

/** Messages that the configuration task takes. */
export type ConfigMessage =
  | {readonly type: 'delta'; readonly delta: ConfigDelta}
  | {
      readonly type: 'adopt';
      readonly configuration: Configuration;
      readonly source: string;
    }
  | {readonly type: 'watching'; readonly on: boolean}
  | {
      readonly type: 'submit';
      readonly ticket: Ticket;
      readonly reply: (answer: TicketAnswer) => void;
    };

/** What the task starts from. */
export interface ConfigTaskOptions {
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  readonly random: () => number;
  readonly onConfiguration: (
    configuration: Configuration,
    source: string,
  ) => void;
  readonly onFault: (err: unknown) => void;
}

/** Longest wait of one watch, milliseconds. */
const WATCH_WAIT_MS = 20_000;
/** A node that does not watch reads by itself this often, milliseconds. */
const READ_EVERY_MS = 300_000;
const RETRY_MS = 200;
/** Time that an operator waits for a ticket to be settled, milliseconds. */
const SUBMIT_DEADLINE_MS = 10_000;

/** The configuration of one node. */
export class ConfigTask extends Task<ConfigMessage> {
  private readonly holder = new ConfigurationHolder();
  private storeVersion = 0;
  private heldSince: number;
  private heardAt = -Infinity;
  private watching = false;
  private looping = false;

  constructor(private readonly options: ConfigTaskOptions) {
    super();
    this.heldSince = options.timers.now();
  }

  /** Reads the configuration and goes on following it. */
  start(): void {
    void this.follow();
  }

  get current(): Configuration {
    return this.holder.current;
  }

  /** Milliseconds since the configuration in force was taken. */
  get ageMs(): number {
    return this.options.timers.now() - this.heldSince;
  }

  /** Milliseconds since the store last answered about it. */
  get sinceHeardMs(): number {
    return this.options.timers.now() - this.heardAt;
  }

  deltaFor(since: number): string {
    return JSON.stringify(this.holder.deltaFor(since));
  }

  override async close(): Promise<void> {
    this.closed = true;
  }

  protected override handle(message: ConfigMessage): void {
    switch (message.type) {
      case 'delta':
        this.takeDelta(message.delta);
        return;
      case 'adopt':
        this.adopt(message.configuration, message.source);
        return;
      case 'watching':
        this.setWatching(message.on);
        return;
      case 'submit':
        new Submitter(
          this.options,
          message.ticket,
          message.reply,
          configuration =>
            this.post({type: 'adopt', configuration, source: 'own ticket'}),
        ).start();
        return;
    }
  }

  protected override onFault(err: unknown): void {
    this.options.onFault(err);
  }

  private setWatching(on: boolean): void {
    const started = on && !this.watching;
    this.watching = on;
    if (started && !this.looping) void this.follow();
  }

  private takeDelta({since, delta}: ConfigDelta): void {
    const parsed = parseConfiguration(delta);
    if (parsed.isErr()) return;
    if (this.holder.adoptDelta(since, parsed.value) === 'adopted')
      this.tell('peer');
  }

  private adopt(configuration: Configuration, source: string): void {
    if (this.holder.adopt(configuration) === 'adopted') this.tell(source);
  }

  private tell(source: string): void {
    this.heldSince = this.options.timers.now();
    this.options.onConfiguration(this.holder.current, source);
  }

  private async follow(): Promise<void> {
    this.looping = true;
    while (!this.closed) {
      const {breaker} = this.options;
      const waitMs = breaker.waitMs(this.options.timers.now());
      if (waitMs > 0) await this.options.timers.sleep(waitMs);
      const first = this.storeVersion === 0 && this.heardAt === -Infinity;
      const ok = await (first || !this.watching ? this.read() : this.watch());
      if (!ok) continue;
      if (this.watching) continue;
      this.looping = false;
      this.scheduleRead();
      return;
    }
  }

  private scheduleRead(): void {
    const waitMs = READ_EVERY_MS * (0.5 + this.options.random());
    this.options.timers.after(waitMs, () => {
      if (!this.looping && !this.closed) void this.follow();
    });
  }

  private async read(): Promise<boolean> {
    const result = await this.options.store.get(CONFIGURATION_PATH);
    if (result.isErr()) return this.storeFailed(result.error);
    this.storeAnswered();
    if (result.value !== undefined) this.take(result.value, 'store');
    return true;
  }

  private async watch(): Promise<boolean> {
    const {store} = this.options;
    const result = await store.watch(
      CONFIGURATION_PATH,
      this.storeVersion,
      WATCH_WAIT_MS,
    );
    if (this.closed) return false;
    if (result.isErr()) return this.storeFailed(result.error);
    this.storeAnswered();
    if (result.value !== undefined) this.take(result.value, 'watch');
    return true;
  }

  private storeAnswered(): void {
    this.heardAt = this.options.timers.now();
    this.options.breaker.succeed();
  }

  private async storeFailed(kind: ErrorKind): Promise<boolean> {
    if (kind !== 'storeBudget')
      this.options.breaker.fail(this.options.timers.now());
    await this.options.timers.sleep(RETRY_MS);
    return false;
  }

  private take(object: StoredObject, source: string): void {
    this.storeVersion = Math.max(this.storeVersion, object.version);
    const parsed = parseConfiguration(object.value);
    if (parsed.isErr()) {
      this.options.onFault(
        new Error(`configuration in the store: ${parsed.error}`),
      );
      return;
    }
    this.post({type: 'adopt', configuration: parsed.value, source});
  }
}

/** Carries out one submission. */
class Submitter {
  private readonly submission: TicketSubmission;
  private readonly timer: Cancel;

  constructor(
    private readonly options: ConfigTaskOptions,
    ticket: Ticket,
    private readonly reply: (answer: TicketAnswer) => void,
    private readonly adopt: (configuration: Configuration) => void,
  ) {
    this.submission = new TicketSubmission(ticket);
    this.timer = options.timers.after(SUBMIT_DEADLINE_MS, () =>
      this.event({type: 'deadline'}),
    );
  }

  start(): void {
    this.event({type: 'begin'});
  }

  private event(event: SubmissionEvent): void {
    this.submission.handle(event).forEach(command => this.execute(command));
  }

  private execute(command: SubmissionCommand): void {
    switch (command.type) {
      case 'read':
        this.options.timers.after(command.afterMs, () => void this.read());
        return;
      case 'write':
        this.options.timers.after(
          command.afterMs,
          () => void this.write(command),
        );
        return;
      case 'adopt':
        this.adopt(command.configuration);
        return;
      case 'answer':
        this.timer();
        this.reply(command.answer);
        return;
    }
  }

  private async read(): Promise<void> {
    const result = await this.options.store.get(CONFIGURATION_PATH);
    if (result.isErr()) return this.event({type: 'storeFailed'});
    if (result.value === undefined) {
      return this.event({type: 'read', configuration: undefined, version: 0});
    }
    const parsed = parseConfiguration(result.value.value);
    if (parsed.isErr()) return this.event({type: 'storeFailed'});
    const {version} = result.value;
    this.event({type: 'read', configuration: parsed.value, version});
  }

  private async write(
    command: SubmissionCommand & {type: 'write'},
  ): Promise<void> {
    const value = JSON.stringify(command.configuration);
    const result = await this.options.store.put(
      CONFIGURATION_PATH,
      value,
      command.version,
    );
    if (result.isOk()) this.event({type: 'written'});
    else if (result.error === 'storeConflict') this.event({type: 'conflict'});
    else this.event({type: 'storeFailed'});
  }
}
