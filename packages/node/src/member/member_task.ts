/** Task that owns membership and its control connections. */
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

/** Messages that the member task takes. */
export type MemberMessage =
  | {readonly type: 'tick'}
  | {readonly type: 'seed'; readonly records: readonly MemberRecord[]}
  | {readonly type: 'servers'; readonly servers: readonly ServerRecord[]}
  | {readonly type: 'leaving'; readonly leaving: readonly string[]}
  | {readonly type: 'spread'; readonly news: QuarantineUpdate}
  | {readonly type: 'repeat'; readonly news: readonly QuarantineUpdate[]}
  | {readonly type: 'configRevision'; readonly revision: number}
  | {
      readonly type: 'answered';
      readonly peer: string;
      readonly answer: ExchangeMessage;
    }
  | {readonly type: 'missed'; readonly peer: string}
  | {readonly type: 'helped'; readonly origin: string; readonly target: string}
  | {readonly type: 'greet'; readonly to: NodeAddress}
  | {readonly type: 'leave'};

/** What the task tells the rest of the node. */
export interface MemberEvents {
  readonly onMembers: () => void;
  readonly onNews: (news: QuarantineUpdate) => void;
  /** Server processes of this VM leave, as an earlier process of this node had told. */
  readonly onLeaving?: (instances: readonly string[]) => void;
  /** The revision that this node holds. */
  readonly heldRevision: () => number;
  readonly onDelta: (delta: ConfigDelta) => void;
  readonly onStatus: (nodeId: string, status: string, reason: string) => void;
  readonly onFault: (err: unknown) => void;
}

/** What the task starts from. */
export interface MemberTaskOptions {
  readonly address: NodeAddress;
  readonly incarnation: number;
  readonly roundMs: number;
  readonly bytesPerSecond: number;
  readonly messageBytes?: number;
  readonly random: () => number;
  readonly timers: Timers;
  readonly links: PeerLinks;
  /** Off: a lost domain is taken for that many deaths. */
  readonly cutDetection?: boolean;
  readonly events: MemberEvents;
}

const TICKS_PER_ROUND = 4;
/** News waits for more of it for that share of a round before it is told. */
const NEWS_SHARE = 0.1;

/** Membership of one node, on real connections. */
export class MemberTask extends Task<MemberMessage> {
  readonly membership: Membership;
  private readonly timer: Cancel;
  private newsTimer: Cancel | undefined;
  private fetching = false;

  constructor(private readonly options: MemberTaskOptions) {
    super();
    this.membership = new Membership(options.timers.now(), {
      self: options.address,
      incarnation: options.incarnation,
      random: options.random,
      roundMs: options.roundMs,
      bytesPerSecond: options.bytesPerSecond,
      maxMessageBytes: options.messageBytes,
      cutDetection: options.cutDetection,
    });
    const everyMs = options.roundMs / TICKS_PER_ROUND;
    this.timer = options.timers.every(everyMs, () => this.post({type: 'tick'}));
  }

  /** Takes a message of another node and answers it. */
  receive(message: ExchangeMessage): ExchangeMessage {
    const {answer, commands} = this.membership.receive(this.now(), message);
    this.execute(commands);
    this.tellNewsSoon();
    return answer;
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.timer();
    this.newsTimer?.();
    this.options.links.close();
  }

  protected override handle(message: MemberMessage): void {
    this.take(message);
    this.tellNewsSoon();
  }

  private tellNewsSoon(): void {
    if (this.newsTimer !== undefined || !this.membership.isPushDue) return;
    const {timers, roundMs} = this.options;
    this.newsTimer = timers.after(roundMs * NEWS_SHARE, () => {
      this.newsTimer = undefined;
      this.post({type: 'tick'});
    });
  }

  private take(message: MemberMessage): void {
    const now = this.now();
    const {membership} = this;
    switch (message.type) {
      case 'tick':
        return this.execute(membership.tick(now));
      case 'seed':
        return this.execute(membership.seed(now, message.records));
      case 'servers':
        return this.execute(membership.setServers(now, message.servers));
      case 'leaving':
        return this.execute(membership.setLeaving(now, message.leaving));
      case 'repeat':
        return message.news.forEach(news => membership.requeue(news));
      case 'spread':
        return this.execute(membership.spread(now, message.news));
      case 'configRevision':
        return this.execute(
          membership.setConfigRevision(now, message.revision),
        );
      case 'answered':
        return this.execute(
          membership.receiveAnswer(now, message.peer, message.answer),
        );
      case 'missed':
        return this.execute(membership.recordMiss(now, message.peer));
      case 'helped':
        return this.execute(
          membership.reportReached(now, message.origin, message.target),
        );
      case 'greet':
        void this.greet(message.to);
        return;
      case 'leave':
        return this.execute(membership.leave(now));
    }
  }

  protected override onFault(err: unknown): void {
    this.options.events.onFault(err);
  }

  private execute(commands: readonly MemberCommand[]): void {
    const {events} = this.options;
    let changed = false;
    for (const command of commands) {
      switch (command.type) {
        case 'exchange':
          void this.exchange(command.to, command.message);
          break;
        case 'probeFor':
          void this.probeFor(command);
          break;
        case 'membersChanged':
          changed = true;
          break;
        case 'statusChanged':
          events.onStatus(command.nodeId, command.status, command.reason);
          break;
        case 'leaving':
          events.onLeaving?.(command.instances);
          break;
        case 'news':
          events.onNews(command.news);
          break;
        case 'fetchConfig':
          void this.fetchConfig(command.from);
          break;
      }
    }
    if (changed) events.onMembers();
  }

  private now(): Millis {
    return this.options.timers.now();
  }

  private async exchange(
    to: NodeAddress,
    message: ExchangeMessage,
  ): Promise<void> {
    const answer = await this.options.links.exchange(to, message);
    if (answer === undefined) this.post({type: 'missed', peer: to.nodeId});
    else this.post({type: 'answered', peer: to.nodeId, answer});
  }

  private async greet(to: NodeAddress): Promise<void> {
    const greeting = this.membership.composeJoinMessage(this.now());
    const answer = await this.options.links.exchange(to, greeting);
    if (answer === undefined) return;
    this.post({type: 'answered', peer: answer.from.nodeId, answer});
  }

  private async probeFor(
    command: MemberCommand & {type: 'probeFor'},
  ): Promise<void> {
    const {target, message, origin} = command;
    const answer = await this.options.links.exchange(target, message);
    if (answer === undefined) return;
    this.post({type: 'answered', peer: target.nodeId, answer});
    this.post({type: 'helped', origin, target: target.nodeId});
  }

  private async fetchConfig(from: NodeAddress): Promise<void> {
    if (this.fetching) return;
    this.fetching = true;
    const delta = await this.options.links.fetchConfig(
      from,
      this.options.events.heldRevision(),
    );
    this.fetching = false;
    if (delta !== undefined) this.options.events.onDelta(delta);
  }
}
