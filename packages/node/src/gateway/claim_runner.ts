/** Carries out the claim on an idempotency key. */
import {claimPath, KeyClaim} from '@goldcresthill/attempts';
import type {
  ClaimCommand,
  ClaimEvent,
  ClaimRecord,
} from '@goldcresthill/attempts';
import type {ErrorKind} from '@goldcresthill/errors';
import type {ObjectStore, StoredObject} from '@goldcresthill/object-store';
import type {Cancel, Timers} from '@goldcresthill/timers';
import * as z from 'zod';
import type {BufferedAnswer} from '../gate/messages';
import type {OwnerReply} from './gate_client';

/** What a claim came to. */
export type ClaimOutcome =
  | {readonly type: 'run'}
  | {readonly type: 'kept'; readonly answer: BufferedAnswer}
  | {readonly type: 'refused'; readonly kind: ErrorKind};

/** What a runner starts from. */
export interface ClaimRunnerOptions {
  readonly timers: Timers;
  readonly store: ObjectStore;
  /** Asks the gateway that holds a claim. */
  readonly askOwner: (record: ClaimRecord) => Promise<OwnerReply>;
  readonly service: string;
  readonly key: string;
  readonly record: ClaimRecord;
  /** Milliseconds until the deadline. */
  readonly leftMs: number;
  readonly onFault: (err: unknown) => void;
  readonly onDecision: (decision: Readonly<Record<string, unknown>>) => void;
}

const recordSchema = z.object({
  token: z.string(),
  fingerprint: z.string(),
  gateway: z.string(),
  incarnation: z.number(),
  host: z.string(),
  dataPort: z.number(),
  claimedAtMs: z.number(),
});

/** Share of the time left that a claim may take; the rest is for the call. */
const CLAIM_SHARE = 0.5;

/** Runs one claim; `done` is called once. */
export class ClaimRunner {
  private readonly claim: KeyClaim;
  private readonly path: string;
  private readonly timer: Cancel;
  private kept: BufferedAnswer | undefined;
  private ended = false;

  constructor(
    private readonly options: ClaimRunnerOptions,
    private readonly done: (outcome: ClaimOutcome) => void,
  ) {
    this.claim = new KeyClaim(options.record);
    this.path = claimPath(options.service, options.key);
    this.timer = options.timers.after(options.leftMs * CLAIM_SHARE, () =>
      this.event({type: 'deadline'}),
    );
  }

  start(): void {
    this.event({type: 'begin'});
  }

  private event(event: ClaimEvent): void {
    try {
      this.claim.handle(event).forEach(command => this.execute(command));
    } catch (err) {
      this.options.onFault(err);
      this.finish({type: 'refused', kind: 'internal'}, 'fault');
    }
  }

  private execute(command: ClaimCommand): void {
    switch (command.type) {
      case 'create':
        this.after(command.afterMs, () => void this.write(command.record, 0));
        return;
      case 'replace':
        this.after(
          command.afterMs,
          () => void this.write(command.record, command.version),
        );
        return;
      case 'read':
        void this.read();
        return;
      case 'askOwner':
        this.after(command.afterMs, () => void this.ask(command.record));
        return;
      case 'run':
        this.finish({type: 'run'}, 'claim written');
        return;
      case 'deliverKept':
        this.deliver();
        return;
      case 'fail':
        this.finish({type: 'refused', kind: command.kind}, command.kind);
        return;
    }
  }

  private async write(record: ClaimRecord, version: number): Promise<void> {
    if (this.ended) return;
    const result = await this.options.store.put(
      this.path,
      JSON.stringify(record),
      version,
    );
    if (result.isOk()) this.event({type: 'written'});
    else if (result.error === 'storeConflict') this.event({type: 'conflict'});
    else this.event({type: 'storeFailed'});
  }

  private async read(): Promise<void> {
    const result = await this.options.store.get(this.path);
    if (result.isErr()) this.event({type: 'storeFailed'});
    else if (result.value === undefined) this.event({type: 'missing'});
    else this.event(toEvent(result.value));
  }

  private async ask(record: ClaimRecord): Promise<void> {
    if (this.ended) return;
    const {answer, kept} = await this.options.askOwner(record);
    this.kept = kept;
    this.event({type: 'ownerAnswered', answer});
  }

  private after(delayMs: number, run: () => void): void {
    this.options.timers.after(delayMs, run);
  }

  private deliver(): void {
    const answer = this.kept;
    if (answer === undefined)
      this.finish({type: 'refused', kind: 'answerLost'}, 'no answer');
    else this.finish({type: 'kept', answer}, 'kept answer of the first call');
  }

  private finish(outcome: ClaimOutcome, reason: string): void {
    if (this.ended) return;
    this.ended = true;
    this.timer();
    this.options.onDecision({what: 'claim', key: this.options.key, reason});
    this.done(outcome);
  }
}

function toEvent(object: StoredObject): ClaimEvent {
  try {
    const record = recordSchema.parse(JSON.parse(object.value));
    return {type: 'exists', record, version: object.version};
  } catch {
    return {type: 'storeFailed'};
  }
}
