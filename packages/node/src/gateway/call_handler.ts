/** Takes a call from its quarantine check by claim and plan to its outcome, without sockets. */
import {KeyedOutcomes} from '@goldcresthill/attempts';
import type {ClaimRecord, OwnerAnswer} from '@goldcresthill/attempts';
import {answerFor} from '@goldcresthill/errors';
import type {ErrorKind} from '@goldcresthill/errors';
import type {ObjectStore} from '@goldcresthill/object-store';
import {Quarantine} from '@goldcresthill/quarantine';
import type {QuarantineStatus} from '@goldcresthill/quarantine';
import type {ServiceRouter} from '@goldcresthill/routing';
import type {Timers} from '@goldcresthill/timers';
import type {NodeAddress} from '@goldcresthill/types';
import type {BufferedAnswer} from '../gate/messages';
import {CallRunner} from './call_runner';
import type {CallEnvironment, CallOutcome} from './call_runner';
import {ClaimRunner} from './claim_runner';
import {ConsultationRunner} from './consultation_runner';
import type {LoadAsker} from './consultation_runner';
import type {OutgoingCall, OwnerReply} from './gate_client';

/** What a handler starts from. */
export interface CallHandlerOptions {
  readonly address: NodeAddress;
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly send: CallEnvironment['send'];
  /** Asks the node beside a server for its load; without it servers are chosen by what is known. */
  readonly ask?: LoadAsker;
  /** Asks the gateway that holds a claim. */
  readonly askOwner: (record: ClaimRecord) => Promise<OwnerReply>;
  readonly onDecision: (
    callId: string,
    sampled: boolean,
    decision: Readonly<Record<string, unknown>>,
  ) => void;
  readonly onFault: (err: unknown) => void;
  /** Off: a key is not claimed. */
  readonly claiming?: boolean;
  /** Off: lost attempts are not resolved with their gate. */
  readonly resolving?: boolean;
}

/** A call as its listener has read it. */
export interface HandledCall {
  readonly call: OutgoingCall;
  readonly router: ServiceRouter;
  readonly sampled: boolean;
  /** Digest of the request, worked out when first needed. */
  readonly fingerprint: () => string;
}

/** What the caller is to be answered. */
export type HandledOutcome =
  | CallOutcome
  /** The answer of an earlier call with the same key. */
  | {readonly type: 'kept'; readonly answer: BufferedAnswer};

/** A call under way. */
export interface CallHandle {
  readonly callerGone: () => void;
}

/** The policy of one gateway for whole calls. */
export class CallHandler {
  readonly quarantine = new Quarantine();
  private readonly outcomes = new KeyedOutcomes<BufferedAnswer>();
  private claims = 0;

  constructor(private readonly options: CallHandlerOptions) {}

  /** Handles a call; `done` is called once. */
  handle(
    handled: HandledCall,
    done: (outcome: HandledOutcome) => void,
  ): CallHandle {
    if (this.standing(handled) === 'quarantined') {
      done(failed('quarantined'));
      return {callerGone: () => undefined};
    }
    const {info} = handled.call;
    const keyed = info.key !== undefined && !info.repeatable;
    if (!keyed || this.options.claiming === false) {
      return this.run(handled, undefined, done);
    }
    this.claim(handled, done);
    // A claimed call goes on without its caller, so that a resend finds its outcome.
    return {callerGone: () => undefined};
  }

  /** What another gateway is told of a claim of this one. */
  askKey(token: string): {
    answer: OwnerAnswer;
    kept: BufferedAnswer | undefined;
  } {
    return this.outcomes.lookUp(token);
  }

  private standing(handled: HandledCall): QuarantineStatus {
    if (this.quarantine.isEmpty) return 'clear';
    const holdMs = handled.router.currentRules.quarantineSeconds * 1_000;
    const now = this.options.timers.wall();
    return this.quarantine.statusOf(now, handled.fingerprint(), holdMs);
  }

  private claim(
    handled: HandledCall,
    done: (outcome: HandledOutcome) => void,
  ): void {
    const {address, store, timers} = this.options;
    const {info} = handled.call;
    const token = `${address.nodeId}:${address.bootId}:${this.claims++}`;
    this.outcomes.begin(timers.now(), token);
    const runner = new ClaimRunner(
      {
        timers,
        store,
        askOwner: this.options.askOwner,
        service: info.service,
        key: info.key ?? '',
        leftMs: info.deadline - timers.now(),
        record: {
          token,
          fingerprint: handled.fingerprint(),
          gateway: address.nodeId,
          incarnation: address.bootId,
          host: address.host,
          dataPort: address.dataPort,
          claimedAtMs: timers.wall(),
        },
        onFault: this.options.onFault,
        onDecision: decision => this.decide(handled, decision),
      },
      outcome => {
        if (outcome.type === 'run') {
          this.run(handled, token, done);
          return;
        }
        this.outcomes.endWithoutAnswer(timers.now(), token, 'notRun');
        done(outcome.type === 'refused' ? failed(outcome.kind) : outcome);
      },
    );
    runner.start();
  }

  private run(
    handled: HandledCall,
    token: string | undefined,
    done: (outcome: HandledOutcome) => void,
  ): CallHandle {
    const runner = new CallRunner(
      handled.call,
      {
        timers: this.options.timers,
        router: handled.router,
        sampled: handled.sampled,
        send: this.options.send,
        consult: (exclude, done) => this.consult(handled, exclude, done),
        resolving: this.options.resolving,
        onDecision: decision => this.decide(handled, decision),
        onFault: this.options.onFault,
        standing: () => this.standing(handled),
      },
      outcome => {
        if (token !== undefined) this.record(token, outcome);
        done(outcome);
      },
    );
    runner.start();
    return {callerGone: () => runner.callerGone()};
  }

  private consult(
    {call, router}: HandledCall,
    exclude: readonly string[],
    done: (asked: boolean) => void,
  ): void {
    const {ask, timers} = this.options;
    if (ask === undefined) {
      done(false);
      return;
    }
    const {service} = call.info;
    const options = {service, router, timers, ask};
    new ConsultationRunner(options, exclude, () => done(true)).start();
  }

  private record(token: string, outcome: CallOutcome): void {
    const now = this.options.timers.now();
    if (outcome.type === 'failed') {
      const state = outcome.runState === 'notRun' ? 'notRun' : 'unknown';
      this.outcomes.endWithoutAnswer(now, token, state);
      return;
    }
    const {status, headers, body} = outcome.result;
    if (body.type === 'stream') {
      this.outcomes.endWithoutAnswer(now, token, 'unknown');
      return;
    }
    const kept = {status, headers, body: body.bytes};
    this.outcomes.endWithAnswer(now, token, kept, body.bytes.length);
  }

  private decide(
    handled: HandledCall,
    decision: Readonly<Record<string, unknown>>,
  ): void {
    this.options.onDecision(
      handled.call.info.callId,
      handled.sampled,
      decision,
    );
  }
}

function failed(kind: ErrorKind): HandledOutcome {
  return {type: 'failed', kind, runState: answerFor(kind).runState};
}
