/** Task that follows the configuration in the store and submits change tickets. */
import {runGuarded} from '@goldcresthill/errors';
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
  EMPTY_CONFIGURATION,
  lacksTickets,
  mergeConfigurations,
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
import {ok} from 'neverthrow';
import type {ConfigDelta} from '../member/peer_links';
import {Task} from '../task';

/** Messages to the configuration task. */
export type ConfigMessage =
  | {readonly type: 'applyDelta'; readonly delta: ConfigDelta}
  | {
      readonly type: 'adopt';
      readonly configuration: Configuration;
      readonly source: string;
    }
  | {readonly type: 'setWatcher'; readonly isWatcher: boolean}
  | {
      readonly type: 'submit';
      readonly ticket: Ticket;
      readonly reply: (answer: TicketAnswer) => void;
    };

/** Options of ConfigTask. */
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

/** Longest duration of one watch, milliseconds. */
const WATCH_WAIT_MS = 20_000;
/** Average interval at which a node that does not watch reads the configuration, milliseconds. */
const READ_INTERVAL_MS = 300_000;
const RETRY_DELAY_MS = 200;
/** Time over which the nodes check whether a restored store lacks tickets, milliseconds. */
const WRITE_BACK_SPREAD_MS = 1_000;
/** Time after which a submission is answered as undetermined, milliseconds. */
const SUBMIT_DEADLINE_MS = 10_000;

/** Follows the configuration of one node. */
export class ConfigTask extends Task<ConfigMessage> {
  private readonly holder = new ConfigurationHolder();
  private objectVersion = 0;
  private adoptedAt: number;
  private storeAnsweredAt = -Infinity;
  private isWatcher = false;
  private isFollowing = false;
  private isWritingBack = false;
  private readonly unsubscribeRestored: () => void;

  constructor(private readonly options: ConfigTaskOptions) {
    super();
    this.adoptedAt = options.timers.now();
    this.unsubscribeRestored = options.store.onRestored(() => {
      this.objectVersion = 0;
      options.timers.after(options.random() * WRITE_BACK_SPREAD_MS, () =>
        this.runDetached(() => this.writeBack()),
      );
    });
  }

  /** Reads the configuration and starts to follow it. */
  start(): void {
    this.runDetached(() => this.follow());
  }

  get current(): Configuration {
    return this.holder.current;
  }

  /** Time since the configuration in force was adopted, milliseconds. */
  get ageMs(): number {
    return this.options.timers.now() - this.adoptedAt;
  }

  /** Time since the store last answered a read or watch, milliseconds; infinite if it never has. */
  get sinceStoreAnswerMs(): number {
    return this.options.timers.now() - this.storeAnsweredAt;
  }

  /** Returns the entries that changed after a revision, as JSON. */
  deltaFor(since: number): string {
    return JSON.stringify(this.holder.deltaFor(since));
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.unsubscribeRestored();
  }

  protected override handle(message: ConfigMessage): void {
    switch (message.type) {
      case 'applyDelta':
        this.applyDelta(message.delta);
        return;
      case 'adopt':
        this.adopt(message.configuration, message.source);
        return;
      case 'setWatcher':
        this.setWatcher(message.isWatcher);
        return;
      case 'submit':
        new TicketSubmitter(
          this.options,
          message.ticket,
          message.reply,
          () => this.holder.current,
          configuration =>
            this.post({type: 'adopt', configuration, source: 'own ticket'}),
        ).start();
        return;
    }
  }

  protected override onFault(err: unknown): void {
    this.options.onFault(err);
  }

  private runDetached(work: () => Promise<void>): void {
    runGuarded(this.options.onFault, work);
  }

  private setWatcher(isWatcher: boolean): void {
    const started = isWatcher && !this.isWatcher;
    this.isWatcher = isWatcher;
    if (started && !this.isFollowing) this.runDetached(() => this.follow());
  }

  private applyDelta({since, delta}: ConfigDelta): void {
    const parsed = parseConfiguration(delta);
    if (parsed.isErr()) return;
    const services = {...this.current.services, ...parsed.value.services};
    if (lacksTickets({...parsed.value, services}, this.current)) {
      this.runDetached(() => this.writeBack());
      return;
    }
    if (this.holder.adoptDelta(since, parsed.value) === 'adopted')
      this.publish('peer');
  }

  private adopt(configuration: Configuration, source: string): void {
    if (lacksTickets(configuration, this.current)) {
      this.runDetached(() => this.writeBack());
      return;
    }
    if (this.holder.adopt(configuration) === 'adopted') this.publish(source);
  }

  /** Writes the tickets in force to the store if it lacks some, as it does after it was restored from an older copy. */
  private async writeBack(): Promise<void> {
    if (this.isWritingBack) return;
    this.isWritingBack = true;
    let isDone = false;
    while (!isDone && !this.closed) {
      isDone = await this.tryWriteBack();
      const {breaker, timers} = this.options;
      const waitMs = Math.max(RETRY_DELAY_MS, breaker.waitMs(timers.now()));
      if (!isDone) await timers.sleep(waitMs);
    }
    this.isWritingBack = false;
  }

  private async tryWriteBack(): Promise<boolean> {
    const {store} = this.options;
    const found = await store.get(CONFIGURATION_PATH);
    if (found.isErr()) return false;
    const stored =
      found.value === undefined
        ? ok<Configuration, string>(EMPTY_CONFIGURATION)
        : parseConfiguration(found.value.value);
    // An object that cannot be read is not overwritten; following it reports the fault.
    if (stored.isErr() || !lacksTickets(stored.value, this.current))
      return true;
    const configuration = mergeConfigurations(this.current, stored.value);
    const written = await store.put(
      CONFIGURATION_PATH,
      JSON.stringify(configuration),
      found.value?.version ?? 0,
    );
    if (written.isErr()) return false;
    this.post({type: 'adopt', configuration, source: 'written back'});
    return true;
  }

  private publish(source: string): void {
    this.adoptedAt = this.options.timers.now();
    this.options.onConfiguration(this.holder.current, source);
  }

  private async follow(): Promise<void> {
    this.isFollowing = true;
    while (!this.closed) {
      const {breaker} = this.options;
      const waitMs = breaker.waitMs(this.options.timers.now());
      if (waitMs > 0) await this.options.timers.sleep(waitMs);
      const isFirstRead =
        this.objectVersion === 0 && this.storeAnsweredAt === -Infinity;
      const ok = await (isFirstRead || !this.isWatcher
        ? this.read()
        : this.watch());
      if (!ok) continue;
      if (this.isWatcher) continue;
      this.isFollowing = false;
      this.scheduleRead();
      return;
    }
  }

  private scheduleRead(): void {
    const waitMs = READ_INTERVAL_MS * (0.5 + this.options.random());
    this.options.timers.after(waitMs, () => {
      if (!this.isFollowing && !this.closed)
        this.runDetached(() => this.follow());
    });
  }

  private async read(): Promise<boolean> {
    const result = await this.options.store.get(CONFIGURATION_PATH);
    if (result.isErr()) return this.storeFailed(result.error);
    this.storeAnswered();
    if (result.value !== undefined) this.applyObject(result.value, 'store');
    return true;
  }

  private async watch(): Promise<boolean> {
    const {store} = this.options;
    const result = await store.watch(
      CONFIGURATION_PATH,
      this.objectVersion,
      WATCH_WAIT_MS,
    );
    if (this.closed) return false;
    if (result.isErr()) return this.storeFailed(result.error);
    this.storeAnswered();
    if (result.value !== undefined) this.applyObject(result.value, 'watch');
    return true;
  }

  private storeAnswered(): void {
    this.storeAnsweredAt = this.options.timers.now();
    this.options.breaker.succeed();
  }

  private async storeFailed(kind: ErrorKind): Promise<boolean> {
    if (kind !== 'storeBudget')
      this.options.breaker.fail(this.options.timers.now());
    await this.options.timers.sleep(RETRY_DELAY_MS);
    return false;
  }

  private applyObject(object: StoredObject, source: string): void {
    this.objectVersion = object.version;
    const parsed = parseConfiguration(object.value);
    if (parsed.isErr()) {
      this.options.onFault(
        new Error(`invalid configuration in the store: ${parsed.error}`),
      );
      return;
    }
    this.post({type: 'adopt', configuration: parsed.value, source});
  }
}

/** Executes the commands of one ticket submission. */
class TicketSubmitter {
  private readonly submission: TicketSubmission;
  private readonly cancelDeadline: Cancel;

  constructor(
    private readonly options: ConfigTaskOptions,
    ticket: Ticket,
    private readonly reply: (answer: TicketAnswer) => void,
    private readonly inForce: () => Configuration,
    private readonly adopt: (configuration: Configuration) => void,
  ) {
    this.submission = new TicketSubmission(ticket);
    this.cancelDeadline = options.timers.after(SUBMIT_DEADLINE_MS, () =>
      this.handle({type: 'deadline'}),
    );
  }

  start(): void {
    this.handle({type: 'begin'});
  }

  private handle(event: SubmissionEvent): void {
    this.submission.handle(event).forEach(command => this.execute(command));
  }

  private execute(command: SubmissionCommand): void {
    switch (command.type) {
      case 'read':
        this.options.timers.after(command.afterMs, () =>
          runGuarded(this.options.onFault, () => this.read()),
        );
        return;
      case 'write':
        this.options.timers.after(command.afterMs, () =>
          runGuarded(this.options.onFault, () => this.write(command)),
        );
        return;
      case 'adopt':
        this.adopt(command.configuration);
        return;
      case 'answer':
        this.cancelDeadline();
        this.reply(command.answer);
        return;
    }
  }

  private async read(): Promise<void> {
    const result = await this.options.store.get(CONFIGURATION_PATH);
    if (result.isErr()) return this.handle({type: 'storeFailed'});
    if (result.value === undefined) {
      const configuration = this.inForce();
      return this.handle({type: 'read', configuration, version: 0});
    }
    const parsed = parseConfiguration(result.value.value);
    if (parsed.isErr()) return this.handle({type: 'storeFailed'});
    const {version} = result.value;
    const configuration = withTickets(parsed.value, this.inForce());
    this.handle({type: 'read', configuration, version});
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
    if (result.isOk()) this.handle({type: 'written'});
    else if (result.error === 'storeConflict') this.handle({type: 'conflict'});
    else this.handle({type: 'storeFailed'});
  }
}

// A ticket is based on the configuration in force where the store has lost some of it.
function withTickets(
  stored: Configuration,
  inForce: Configuration,
): Configuration {
  return lacksTickets(stored, inForce)
    ? mergeConfigurations(inForce, stored)
    : stored;
}
