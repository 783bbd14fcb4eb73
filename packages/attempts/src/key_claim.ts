/** Claim on an idempotency key by a conditional create in the platform's service. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';

/** Object kept in the platform's service for each key. */
export interface ClaimRecord {
  /** Unique to one call at one gateway. */
  readonly token: string;
  readonly fingerprint: string;
  /** Node that may run the call, and where it answers. */
  readonly gateway: string;
  readonly incarnation: number;
  readonly host: string;
  readonly dataPort: number;
  /** Wall-clock time of the claim, milliseconds since 1970. */
  readonly claimedAtMs: number;
}

/** What the gateway that holds a claim says of its call. */
export type OwnerAnswer =
  'running' | 'notRun' | 'done' | 'ran' | 'unknown' | 'unreachable';

/** Something that happened to a claim. */
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
  | {readonly type: 'ownerSaid'; readonly answer: OwnerAnswer}
  | {readonly type: 'deadline'};

/** What the gateway is to do next. */
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
  | {readonly type: 'answer'; readonly kind: ErrorKind};

type ClaimState = 'writing' | 'reading' | 'asking' | 'ended';

const AGAIN_MS = 50;

/**
 * Aggregate for one call's claim. `run` is commanded at most once, and only
 * while the object in the store bears this call's own token.
 */
export class KeyClaim {
  private state: ClaimState = 'writing';
  private seen: {record: ClaimRecord; version: number} | undefined;
  private replacing: number | undefined;

  constructor(private readonly record: ClaimRecord) {}

  handle(event: ClaimEvent): ClaimCommand[] {
    if (this.state === 'ended') return [];
    switch (event.type) {
      case 'begin':
      case 'missing':
        return this.create(0);
      case 'written':
        return this.end({type: 'run'});
      case 'exists':
        return this.exists(event.record, event.version);
      case 'conflict':
        this.state = 'reading';
        return [{type: 'read'}];
      case 'storeFailed':
        return this.repeat();
      case 'ownerSaid':
        return this.ownerSaid(event.answer);
      case 'deadline':
        return this.outOfTime();
    }
  }

  private create(afterMs: number): ClaimCommand[] {
    this.state = 'writing';
    this.replacing = undefined;
    return [{type: 'create', record: this.record, afterMs}];
  }

  private replace(version: number, afterMs: number): ClaimCommand[] {
    this.state = 'writing';
    this.replacing = version;
    return [{type: 'replace', record: this.record, version, afterMs}];
  }

  // A write whose answer was lost may have landed; the same conditional write
  // is repeated until the store gives a definite answer.
  private repeat(): ClaimCommand[] {
    if (this.state === 'reading') return [{type: 'read'}];
    if (this.replacing !== undefined)
      return this.replace(this.replacing, AGAIN_MS);
    return this.create(AGAIN_MS);
  }

  private exists(record: ClaimRecord, version: number): ClaimCommand[] {
    if (record.token === this.record.token) return this.end({type: 'run'});
    if (record.fingerprint !== this.record.fingerprint) {
      return this.end({type: 'answer', kind: 'keyReused'});
    }
    this.state = 'asking';
    this.seen = {record, version};
    return [{type: 'askOwner', record, afterMs: 0}];
  }

  private ownerSaid(answer: OwnerAnswer): ClaimCommand[] {
    if (this.state !== 'asking' || this.seen === undefined) return [];
    switch (answer) {
      case 'running':
        return [
          {type: 'askOwner', record: this.seen.record, afterMs: AGAIN_MS},
        ];
      case 'notRun':
        return this.replace(this.seen.version, 0);
      case 'done':
        return this.end({type: 'deliverKept'});
      case 'ran':
        return this.end({type: 'answer', kind: 'answerLost'});
      case 'unknown':
      case 'unreachable':
        return this.end({type: 'answer', kind: 'duplicateUnknown'});
    }
  }

  private outOfTime(): ClaimCommand[] {
    const asking = this.state === 'asking';
    const kind = asking ? 'duplicateRunning' : 'keyStoreUnavailable';
    return this.end({type: 'answer', kind});
  }

  private end(command: ClaimCommand): ClaimCommand[] {
    invariant(
      this.state !== 'ended',
      'claim.once',
      () => 'a claim ended twice',
    );
    this.state = 'ended';
    return [command];
  }
}
