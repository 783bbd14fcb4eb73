/** Claim on an idempotency key, made by a conditional create in the platform's object store. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';

/** Object that the platform's object store keeps for each key. */
export interface ClaimRecord {
  /** Unique to one call at one gateway. */
  readonly token: string;
  readonly fingerprint: string;
  /** Node that may run the call, with its incarnation and address. */
  readonly gateway: string;
  readonly incarnation: number;
  readonly host: string;
  readonly dataPort: number;
  /** Wall-clock time of the claim, milliseconds since 1970. */
  readonly claimedAtMs: number;
}

/** State of a claimed call, as reported by the gateway that owns the claim; `unreachable` if that gateway did not answer. */
export type OwnerAnswer =
  'running' | 'notRun' | 'done' | 'ran' | 'unknown' | 'unreachable';

/** Event in the life of a claim. */
export type ClaimEvent =
  | {readonly type: 'begin'}
  | {readonly type: 'written'}
  | {
      readonly type: 'exists';
      readonly record: ClaimRecord;
      readonly version: number;
    }
  | {readonly type: 'missing'}
  | {readonly type: 'conflict'}
  | {readonly type: 'storeFailed'}
  | {readonly type: 'ownerAnswered'; readonly answer: OwnerAnswer}
  | {readonly type: 'deadline'};

/** Command to the gateway. */
export type ClaimCommand =
  | {
      readonly type: 'create';
      readonly record: ClaimRecord;
      readonly afterMs: number;
    }
  | {readonly type: 'read'}
  | {
      readonly type: 'replace';
      readonly record: ClaimRecord;
      readonly version: number;
      readonly afterMs: number;
    }
  | {
      readonly type: 'askOwner';
      readonly record: ClaimRecord;
      readonly afterMs: number;
    }
  | {readonly type: 'run'}
  | {readonly type: 'deliverKept'}
  | {readonly type: 'fail'; readonly kind: ErrorKind};

type ClaimState = 'writing' | 'reading' | 'asking' | 'ended';

/** Delay before a failed write is retried or the owner of a running call is asked again. */
const RETRY_DELAY_MS = 50;

/**
 * State machine of one call's claim. `run` is commanded at most once, and only
 * while the object in the store has this call's own token.
 */
export class KeyClaim {
  private state: ClaimState = 'writing';
  private existing: {record: ClaimRecord; version: number} | undefined;
  private replacedVersion: number | undefined;

  constructor(private readonly record: ClaimRecord) {}

  /** Applies an event and returns the commands that follow; empty once the claim has ended. */
  handle(event: ClaimEvent): ClaimCommand[] {
    if (this.state === 'ended') return [];
    switch (event.type) {
      case 'begin':
      case 'missing':
        return this.create(0);
      case 'written':
        return this.end({type: 'run'});
      case 'exists':
        return this.onExists(event.record, event.version);
      case 'conflict':
        this.state = 'reading';
        return [{type: 'read'}];
      case 'storeFailed':
        return this.retryStoreRequest();
      case 'ownerAnswered':
        return this.onOwnerAnswered(event.answer);
      case 'deadline':
        return this.onDeadline();
    }
  }

  private create(afterMs: number): ClaimCommand[] {
    this.state = 'writing';
    this.replacedVersion = undefined;
    return [{type: 'create', record: this.record, afterMs}];
  }

  private replace(version: number, afterMs: number): ClaimCommand[] {
    this.state = 'writing';
    this.replacedVersion = version;
    return [{type: 'replace', record: this.record, version, afterMs}];
  }

  // A write whose response was lost may have been applied; the same conditional
  // write is retried until the store gives a definite answer.
  private retryStoreRequest(): ClaimCommand[] {
    if (this.state === 'reading') return [{type: 'read'}];
    if (this.replacedVersion !== undefined)
      return this.replace(this.replacedVersion, RETRY_DELAY_MS);
    return this.create(RETRY_DELAY_MS);
  }

  private onExists(record: ClaimRecord, version: number): ClaimCommand[] {
    if (record.token === this.record.token) return this.end({type: 'run'});
    if (record.fingerprint !== this.record.fingerprint) {
      return this.end({type: 'fail', kind: 'keyReused'});
    }
    this.state = 'asking';
    this.existing = {record, version};
    return [{type: 'askOwner', record, afterMs: 0}];
  }

  private onOwnerAnswered(answer: OwnerAnswer): ClaimCommand[] {
    if (this.state !== 'asking' || this.existing === undefined) return [];
    switch (answer) {
      case 'running':
        return [
          {
            type: 'askOwner',
            record: this.existing.record,
            afterMs: RETRY_DELAY_MS,
          },
        ];
      case 'notRun':
        return this.replace(this.existing.version, 0);
      case 'done':
        return this.end({type: 'deliverKept'});
      case 'ran':
        return this.end({type: 'fail', kind: 'answerLost'});
      case 'unknown':
      case 'unreachable':
        return this.end({type: 'fail', kind: 'duplicateUnknown'});
    }
  }

  private onDeadline(): ClaimCommand[] {
    const asking = this.state === 'asking';
    const kind = asking ? 'duplicateRunning' : 'keyStoreUnavailable';
    return this.end({type: 'fail', kind});
  }

  private end(command: ClaimCommand): ClaimCommand[] {
    invariant(
      this.state !== 'ended',
      'claim.once',
      () => 'the claim has ended already',
    );
    this.state = 'ended';
    return [command];
  }
}
