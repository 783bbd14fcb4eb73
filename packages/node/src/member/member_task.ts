/** Task that owns membership and its control connections. */
import {runGuarded} from '@goldcresthill/errors';
import {Membership} from '@goldcresthill/membership';
import type {
  ExchangeMessage,
  MemberCommand,
  QuarantineUpdate,
  MemberRecord,
} from '@goldcresthill/membership';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, NodeAddress, ServerRecord} from '@goldcresthill/types';
import {Task} from '../task';
import type {ConfigDelta, PeerLinks} from './peer_links';

/** Messages to the member task. */
export type MemberMessage =
  | {readonly type: 'tick'}
  | {readonly type: 'seed'; readonly records: readonly MemberRecord[]}
  | {readonly type: 'setServers'; readonly servers: readonly ServerRecord[]}
  | {readonly type: 'setLeaving'; readonly instances: readonly string[]}
  | {readonly type: 'spread'; readonly update: QuarantineUpdate}
  | {readonly type: 'requeue'; readonly updates: readonly QuarantineUpdate[]}
  | {readonly type: 'setConfigRevision'; readonly revision: number}
  | {readonly type: 'setStoreEra'; readonly era: number}
  | {
      readonly type: 'exchangeAnswered';
      readonly peer: string;
      readonly answer: ExchangeMessage;
    }
  | {readonly type: 'exchangeFailed'; readonly peer: string}
  | {
      readonly type: 'indirectProbeAnswered';
      readonly origin: string;
      readonly target: string;
    }
  | {readonly type: 'join'; readonly to: NodeAddress}
  | {readonly type: 'leave'};

/** Events that the task reports to the rest of the node. */
export interface MemberEvents {
  readonly onMembers: () => void;
  readonly onQuarantineUpdate: (update: QuarantineUpdate) => void;
  /** Server processes of this VM are leaving, as an earlier process of this node announced. */
  readonly onLeavingInstances?: (instances: readonly string[]) => void;
  /** Returns the revision of the configuration in force at this node. */
  readonly heldRevision: () => number;
  readonly onConfigDelta: (
    delta: ConfigDelta,
    from: NodeAddress,
    /** Time since the configuration was asked for, milliseconds. */
    askedMs: Millis,
  ) => void;
  /** Another node knows a newer era of the store. */
  readonly onStoreRestored: (era: number) => void;
  readonly onStatus: (nodeId: string, status: string, reason: string) => void;
  readonly onFault: (err: unknown) => void;
}

/** Options of MemberTask. */
export interface MemberTaskOptions {
  readonly address: NodeAddress;
  readonly incarnation: number;
  readonly roundMs: number;
  readonly bytesPerSecond: number;
  /** Largest message, bytes. */
  readonly maxMessageBytes?: number;
  readonly random: () => number;
  readonly timers: Timers;
  readonly links: PeerLinks;
  /** If false, an unreachable domain is treated as the death of each of its nodes. */
  readonly cutDetection?: boolean;
  readonly events: MemberEvents;
}

const TICKS_PER_ROUND = 4;
/** Delay before queued gossip is pushed, as a fraction of a round, so that more of it goes into one message. */
const PUSH_DELAY_FRACTION = 0.1;

/** Runs the membership protocol of one node over its links to other nodes. */
export class MemberTask extends Task<MemberMessage> {
  readonly membership: Membership;
  private readonly cancelTicks: Cancel;
  private cancelPush: Cancel | undefined;
  private isFetchingConfig = false;

  constructor(private readonly options: MemberTaskOptions) {
    super();
    this.membership = new Membership(options.timers.now(), {
      self: options.address,
      incarnation: options.incarnation,
      random: options.random,
      roundMs: options.roundMs,
      bytesPerSecond: options.bytesPerSecond,
      maxMessageBytes: options.maxMessageBytes,
      cutDetection: options.cutDetection,
    });
    const tickMs = options.roundMs / TICKS_PER_ROUND;
    this.cancelTicks = options.timers.every(tickMs, () =>
      this.post({type: 'tick'}),
    );
  }

  /** Handles a message of another node and returns the answer. */
  receive(message: ExchangeMessage): ExchangeMessage {
    const {answer, commands} = this.membership.receive(this.now(), message);
    this.execute(commands);
    this.schedulePush();
    return answer;
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.cancelTicks();
    this.cancelPush?.();
    this.options.links.close();
  }

  protected override handle(message: MemberMessage): void {
    this.dispatch(message);
    this.schedulePush();
  }

  private schedulePush(): void {
    if (this.cancelPush !== undefined || !this.membership.isPushDue) return;
    const {timers, roundMs} = this.options;
    this.cancelPush = timers.after(roundMs * PUSH_DELAY_FRACTION, () => {
      this.cancelPush = undefined;
      this.post({type: 'tick'});
    });
  }

  private dispatch(message: MemberMessage): void {
    const now = this.now();
    const {membership} = this;
    switch (message.type) {
      case 'tick':
        return this.execute(membership.tick(now));
      case 'seed':
        return this.execute(membership.seed(now, message.records));
      case 'setServers':
        return this.execute(membership.setServers(now, message.servers));
      case 'setLeaving':
        return this.execute(membership.setLeaving(now, message.instances));
      case 'requeue':
        return message.updates.forEach(update => membership.requeue(update));
      case 'spread':
        return this.execute(membership.spread(now, message.update));
      case 'setConfigRevision':
        return this.execute(
          membership.setConfigRevision(now, message.revision),
        );
      case 'setStoreEra':
        return this.execute(membership.setStoreEra(now, message.era));
      case 'exchangeAnswered':
        return this.execute(
          membership.receiveAnswer(now, message.peer, message.answer),
        );
      case 'exchangeFailed':
        return this.execute(membership.recordMiss(now, message.peer));
      case 'indirectProbeAnswered':
        return this.execute(
          membership.reportReached(now, message.origin, message.target),
        );
      case 'join':
        this.runDetached(() => this.join(message.to));
        return;
      case 'leave':
        return this.execute(membership.leave(now));
    }
  }

  protected override onFault(err: unknown): void {
    this.options.events.onFault(err);
  }

  private runDetached(work: () => Promise<void>): void {
    runGuarded(this.options.events.onFault, work);
  }

  private execute(commands: readonly MemberCommand[]): void {
    const {events} = this.options;
    let membersChanged = false;
    for (const command of commands) {
      switch (command.type) {
        case 'exchange':
          this.runDetached(() => this.exchange(command.to, command.message));
          break;
        case 'probeFor':
          this.runDetached(() => this.probeFor(command));
          break;
        case 'membersChanged':
          membersChanged = true;
          break;
        case 'statusChanged':
          events.onStatus(command.nodeId, command.status, command.reason);
          break;
        case 'leaving':
          events.onLeavingInstances?.(command.instances);
          break;
        case 'news':
          events.onQuarantineUpdate(command.news);
          break;
        case 'storeRestored':
          events.onStoreRestored(command.era);
          break;
        case 'fetchConfig':
          this.runDetached(() => this.fetchConfig(command.from));
          break;
      }
    }
    if (membersChanged) events.onMembers();
  }

  private now(): Millis {
    return this.options.timers.now();
  }

  private async exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<void> {
    const answer = await this.options.links.exchange(to, message);
    if (answer === undefined)
      this.post({type: 'exchangeFailed', peer: to.nodeId});
    else this.post({type: 'exchangeAnswered', peer: to.nodeId, answer});
  }

  private async join(to: NodeAddress): Promise<void> {
    const joinMessage = this.membership.composeJoinMessage(this.now());
    const answer = await this.options.links.exchange(to, joinMessage);
    if (answer === undefined) return;
    this.post({type: 'exchangeAnswered', peer: answer.from.nodeId, answer});
  }

  private async probeFor(
    command: MemberCommand & {type: 'probeFor'},
  ): Promise<void> {
    const {target, message, origin} = command;
    const answer = await this.options.links.exchange(target, message);
    if (answer === undefined) return;
    this.post({type: 'exchangeAnswered', peer: target.nodeId, answer});
    this.post({type: 'indirectProbeAnswered', origin, target: target.nodeId});
  }

  private async fetchConfig(from: NodeAddress): Promise<void> {
    if (this.isFetchingConfig) return;
    this.isFetchingConfig = true;
    const {links, events} = this.options;
    const askedAt = this.now();
    const delta = await links
      .fetchConfig(from, events.heldRevision())
      .finally(() => {
        this.isFetchingConfig = false;
      });
    if (delta !== undefined)
      events.onConfigDelta(delta, from, this.now() - askedAt);
  }
}
