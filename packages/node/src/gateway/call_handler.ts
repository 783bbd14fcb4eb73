/** Handles a call from its quarantine check through its claim and its attempts to its outcome, without sockets. */
import {claimPath, KeyedOutcomes} from '@goldcresthill/attempts';
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
import {CallRunner, spillCallOf} from './call_runner';
import type {CallEnvironment, CallOutcome} from './call_runner';
import {ClaimRunner} from './claim_runner';
import {RecentClaims} from './recent_claims';
import {LoadQueryRunner} from './load_query_runner';
import type {LoadQueryOutcome, SendLoadQuery} from './load_query_runner';
import type {OutgoingCall, OwnerReply} from './gate_client';

/** Options of CallHandler. */
export interface CallHandlerOptions {
  readonly address: NodeAddress;
  readonly timers: Timers;
  readonly store: ObjectStore;
  readonly send: CallEnvironment['send'];
  /** Asks the node beside a server for its load; without it, servers are chosen by the reports already received. */
  readonly sendLoadQuery?: SendLoadQuery;
  /** Asks the gateway that owns a claim for the state of its call. */
  readonly askOwner: (record: ClaimRecord) => Promise<OwnerReply>;
  readonly onDecision: (
    callId: string,
    sampled: boolean,
    decision: Readonly<Record<string, unknown>>,
  ) => void;
  readonly onFault: (err: unknown) => void;
  /** Whether idempotency keys are claimed; default true. Tests turn it off. */
  readonly claiming?: boolean;
  /** Whether lost attempts are resolved with their gate; default true. Tests turn it off. */
  readonly resolving?: boolean;
}

/** A call as read by the listener. */
export interface HandledCall {
  readonly call: OutgoingCall;
  readonly router: ServiceRouter;
  readonly sampled: boolean;
  /** Digest of the request, computed at the first use. */
  readonly fingerprint: () => string;
}

/** Outcome of a call, for its caller. */
export type HandledOutcome =
  | CallOutcome
  /** The stored answer of an earlier call with the same key. */
  | {readonly type: 'kept'; readonly answer: BufferedAnswer};

/** A call in progress. */
export interface CallHandle {
  /** Reports that the caller has disconnected. */
  readonly callerGone: () => void;
  /** Ends the call as at its deadline. */
  readonly expire: () => void;
}

/** Handle of a call on which its caller has no influence any more. */
const ENDED_CALL: CallHandle = {
  callerGone: () => undefined,
  expire: () => undefined,
};

/** Handles the calls of one gateway. Calls with an idempotency key are claimed in the store before they run. */
export class CallHandler {
  readonly quarantine = new Quarantine();
  private readonly outcomes = new KeyedOutcomes<BufferedAnswer>();
  private readonly recentClaims: RecentClaims;
  private claimSeq = 0;

  constructor(private readonly options: CallHandlerOptions) {
    const {store, timers, onFault} = options;
    this.recentClaims = new RecentClaims({
      store,
      timers,
      onFault,
      onTaken: path =>
        onFault(new Error(`lost claim ${path} was taken by another call`)),
    });
  }

  /** Ends what the handler does by itself; calls in progress continue. */
  close(): void {
    this.recentClaims.close();
  }

  /** Handles a call; `done` is called once. */
  handle(
    handled: HandledCall,
    done: (outcome: HandledOutcome) => void,
  ): CallHandle {
    if (this.quarantineStatus(handled) === 'quarantined') {
      done(failed('quarantined'));
      return ENDED_CALL;
    }
    const {attributes} = handled.call;
    const isKeyed = attributes.key !== undefined && !attributes.repeatable;
    if (!isKeyed || this.options.claiming === false) {
      return this.run(handled, undefined, done);
    }
    this.claim(handled, done);
    // A claimed call continues after its caller has disconnected, so that a resend finds its outcome.
    return ENDED_CALL;
  }

  /** Returns the state of a call claimed by this gateway and its stored answer, for another gateway. */
  lookUpClaim(token: string): {
    answer: OwnerAnswer;
    kept: BufferedAnswer | undefined;
  } {
    return this.outcomes.lookUp(token);
  }

  private quarantineStatus(handled: HandledCall): QuarantineStatus {
    if (this.quarantine.isEmpty) return 'clear';
    const quarantineMs = handled.router.currentRules.quarantineSeconds * 1_000;
    const now = this.options.timers.wall();
    return this.quarantine.statusOf(now, handled.fingerprint(), quarantineMs);
  }

  private claim(
    handled: HandledCall,
    done: (outcome: HandledOutcome) => void,
  ): void {
    const {address, store, timers} = this.options;
    const {attributes} = handled.call;
    const token = `${address.nodeId}:${address.bootId}:${this.claimSeq++}`;
    this.outcomes.begin(timers.now(), token);
    const {service, key = ''} = attributes;
    const record = {
      token,
      fingerprint: handled.fingerprint(),
      gateway: address.nodeId,
      incarnation: address.bootId,
      host: address.host,
      dataPort: address.dataPort,
      claimedAtMs: timers.wall(),
    };
    const runner = new ClaimRunner(
      {
        timers,
        store,
        askOwner: this.options.askOwner,
        service,
        key,
        remainingMs: attributes.deadline - timers.now(),
        record,
        onFault: this.options.onFault,
        onDecision: decision => this.recordDecision(handled, decision),
      },
      outcome => {
        if (outcome.type === 'run') {
          const path = claimPath(service, key);
          this.recentClaims.add(path, JSON.stringify(record));
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
        queryLoad: (exclude, done) => this.queryLoad(handled, exclude, done),
        resolving: this.options.resolving,
        onDecision: decision => this.recordDecision(handled, decision),
        onFault: this.options.onFault,
        quarantineStatus: () => this.quarantineStatus(handled),
      },
      outcome => {
        if (token !== undefined) this.recordOutcome(token, outcome);
        done(outcome);
      },
    );
    runner.start();
    return {
      callerGone: () => runner.callerGone(),
      expire: () => runner.expire(),
    };
  }

  private queryLoad(
    {call, router}: HandledCall,
    exclude: readonly string[],
    done: (outcome: LoadQueryOutcome) => void,
  ): void {
    const {sendLoadQuery, timers} = this.options;
    const {disabled} = router.currentRules;
    if (sendLoadQuery === undefined || disabled.includes('loadQueries')) {
      done({type: 'notQueried'});
      return;
    }
    const {attributes} = call;
    const spillCall = spillCallOf(call);
    const options = {attributes, spillCall, router, timers, sendLoadQuery};
    new LoadQueryRunner(options, exclude, done).start();
  }

  private recordOutcome(token: string, outcome: CallOutcome): void {
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

  private recordDecision(
    handled: HandledCall,
    decision: Readonly<Record<string, unknown>>,
  ): void {
    this.options.onDecision(
      handled.call.attributes.callId,
      handled.sampled,
      decision,
    );
  }
}

function failed(kind: ErrorKind): HandledOutcome {
  return {type: 'failed', kind, runState: answerFor(kind).runState};
}
