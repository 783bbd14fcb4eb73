/** Executes the claim on an idempotency key: store access, queries to the owner and the timeout. */
import {runGuarded} from '@goldcresthill/errors';
import {claimPath, KeyClaim} from '@goldcresthill/attempts';
import type {
  ClaimCommand,
  ClaimEvent,
  ClaimRecord,
} from '@goldcresthill/attempts';
import type {ErrorKind} from '@goldcresthill/errors';
import type {ObjectStore, StoredObject} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import {isEndpoint} from '@goldcresthill/types';
import * as z from 'zod';
import type {BufferedAnswer} from '../gate/messages';
import type {OwnerReply} from './gate_client';

/** Outcome of a claim. */
export type ClaimOutcome =
  /** This gateway owns the claim: run the call. */
  | {readonly type: 'run'}
  /** The stored answer of an earlier call with the same key. */
  | {readonly type: 'kept'; readonly answer: BufferedAnswer}
  | {readonly type: 'refused'; readonly kind: ErrorKind};

/** Options of ClaimRunner. */
export interface ClaimRunnerOptions {
  readonly timers: Timers;
  readonly store: ObjectStore;
  /** Asks the gateway that owns a claim for the state of its call. */
  readonly askOwner: (record: ClaimRecord) => Promise<OwnerReply>;
  readonly service: string;
  readonly key: string;
  readonly record: ClaimRecord;
  /** Milliseconds until the deadline. */
  readonly remainingMs: number;
  readonly onFault: (err: unknown) => void;
  readonly onDecision: (decision: Readonly<Record<string, unknown>>) => void;
}

const claimRecordSchema = z
  .object({
    token: z.string(),
    fingerprint: z.string(),
    gateway: z.string(),
    incarnation: z.number(),
    host: z.string(),
    dataPort: z.number(),
    claimedAtMs: z.number(),
  })
  .refine(({host, dataPort}) => isEndpoint(host, dataPort));

/** Maximum share of the remaining time that a claim may take; the rest is left for the call. */
const MAX_CLAIM_TIME_SHARE = 0.5;

/** Runs one claim; `done` is called once. */
export class ClaimRunner {
  private readonly claim: KeyClaim;
  private readonly path: string;
  private readonly cancelDeadline: Cancel;
  private kept: BufferedAnswer | undefined;
  private ended = false;

  constructor(
    private readonly options: ClaimRunnerOptions,
    private readonly done: (outcome: ClaimOutcome) => void,
  ) {
    this.claim = new KeyClaim(options.record);
    this.path = claimPath(options.service, options.key);
    this.cancelDeadline = options.timers.after(
      options.remainingMs * MAX_CLAIM_TIME_SHARE,
      () => this.dispatch({type: 'deadline'}),
    );
  }

  start(): void {
    this.dispatch({type: 'begin'});
  }

  private dispatch(event: ClaimEvent): void {
    try {
      this.claim.handle(event).forEach(command => this.execute(command));
    } catch (err) {
      this.options.onFault(err);
      this.finish({type: 'refused', kind: 'internal'}, 'internal error');
    }
  }

  private execute(command: ClaimCommand): void {
    switch (command.type) {
      case 'create':
        this.schedule(command.afterMs, () =>
          this.runDetached(() => this.write(command.record, 0)),
        );
        return;
      case 'replace':
        this.schedule(command.afterMs, () =>
          this.runDetached(() => this.write(command.record, command.version)),
        );
        return;
      case 'read':
        this.runDetached(() => this.read());
        return;
      case 'askOwner':
        this.schedule(command.afterMs, () =>
          this.runDetached(() => this.askOwner(command.record)),
        );
        return;
      case 'run':
        this.finish({type: 'run'}, 'claim written');
        return;
      case 'deliverKept':
        this.deliverKeptAnswer();
        return;
      case 'fail':
        this.finish({type: 'refused', kind: command.kind}, command.kind);
        return;
    }
  }

  private runDetached(work: () => Promise<void>): void {
    runGuarded(err => {
      this.options.onFault(err);
      this.finish({type: 'refused', kind: 'internal'}, 'internal error');
    }, work);
  }

  private async write(record: ClaimRecord, version: number): Promise<void> {
    if (this.ended) return;
    const result = await this.options.store.put(
      this.path,
      JSON.stringify(record),
      version,
    );
    if (result.isOk()) this.dispatch({type: 'written'});
    else if (result.error === 'storeConflict')
      this.dispatch({type: 'conflict'});
    else this.dispatch({type: 'storeFailed'});
  }

  private async read(): Promise<void> {
    const result = await this.options.store.get(this.path);
    if (result.isErr()) this.dispatch({type: 'storeFailed'});
    else if (result.value === undefined) this.dispatch({type: 'missing'});
    else this.dispatch(toEvent(result.value));
  }

  private async askOwner(record: ClaimRecord): Promise<void> {
    if (this.ended) return;
    const {answer, kept} = await this.options.askOwner(record);
    this.kept = kept;
    this.dispatch({type: 'ownerAnswered', answer});
  }

  private schedule(delayMs: number, run: () => void): void {
    this.options.timers.after(delayMs, run);
  }

  private deliverKeptAnswer(): void {
    const answer = this.kept;
    if (answer === undefined)
      this.finish(
        {type: 'refused', kind: 'answerLost'},
        'owner returned no stored answer',
      );
    else this.finish({type: 'kept', answer}, 'stored answer of the first call');
  }

  private finish(outcome: ClaimOutcome, reason: string): void {
    if (this.ended) return;
    this.ended = true;
    this.cancelDeadline();
    this.options.onDecision({what: 'claim', key: this.options.key, reason});
    this.done(outcome);
  }
}

function toEvent(object: StoredObject): ClaimEvent {
  try {
    const record = claimRecordSchema.parse(JSON.parse(object.value));
    return {type: 'exists', record, version: object.version};
  } catch {
    return {type: 'storeFailed'};
  }
}
