/** Submission of a ticket, safe against lost store responses and concurrent submissions. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {Configuration} from './configuration';
import {acceptTicket, EMPTY_CONFIGURATION} from './configuration';
import type {Ticket} from './ticket';

/** Response to the operator. */
export type TicketAnswer =
  | {readonly type: 'accepted'; readonly revision: number}
  | {readonly type: 'already'; readonly revision: number}
  | {
      readonly type: 'refused';
      readonly kind: ErrorKind;
      readonly service: string;
      readonly inForce: number;
    }
  /** The deadline passed before the result was known; with `ticketUndetermined` the ticket may still take effect. */
  | {readonly type: 'undetermined'; readonly kind: ErrorKind};

/** Start, deadline, or a response of the store. Version 0 stands for a missing object. */
export type SubmissionEvent =
  | {readonly type: 'begin'}
  | {
      readonly type: 'read';
      readonly configuration: Configuration | undefined;
      readonly version: number;
    }
  | {readonly type: 'written'}
  | {readonly type: 'conflict'}
  | {readonly type: 'storeFailed'}
  | {readonly type: 'deadline'};

/** Next step of the program that runs the submission. */
export type SubmissionCommand =
  | {readonly type: 'read'; readonly afterMs: number}
  | {
      readonly type: 'write';
      readonly configuration: Configuration;
      readonly version: number;
      readonly afterMs: number;
    }
  | {readonly type: 'adopt'; readonly configuration: Configuration}
  | {readonly type: 'answer'; readonly answer: TicketAnswer};

/** Delay before a failed store call is repeated. */
const RETRY_DELAY_MS = 100;

/**
 * State machine of one submission. After a lost response it repeats the same
 * conditional write until the store responds. A conflict then proves that no
 * delayed copy of the write can still take effect, because the object no longer
 * has the version that the write expects.
 */
export class TicketSubmission {
  private pendingWrite:
    {configuration: Configuration; version: number} | undefined;
  /** Set when a write is sent, until a conflict proves that no copy of it can still take effect. */
  private writeUnresolved = false;
  private ended = false;

  constructor(private readonly ticket: Ticket) {}

  /** Handles an event and returns the commands to execute, in order; none after the response. */
  handle(event: SubmissionEvent): SubmissionCommand[] {
    if (this.ended) return [];
    switch (event.type) {
      case 'begin':
        return [{type: 'read', afterMs: 0}];
      case 'read':
        return this.onRead(
          event.configuration ?? EMPTY_CONFIGURATION,
          event.version,
        );
      case 'written':
        return this.onWritten();
      case 'conflict':
        this.pendingWrite = undefined;
        this.writeUnresolved = false;
        return [{type: 'read', afterMs: 0}];
      case 'storeFailed':
        return this.retry();
      case 'deadline':
        return this.onDeadline();
    }
  }

  private onRead(current: Configuration, version: number): SubmissionCommand[] {
    invariant(
      !this.writeUnresolved,
      'ticket.settled',
      () => 'configuration read while the result of a write is unknown',
    );
    const result = acceptTicket(current, this.ticket);
    switch (result.type) {
      case 'accepted':
        this.pendingWrite = {configuration: result.configuration, version};
        this.writeUnresolved = true;
        return [{type: 'write', ...this.pendingWrite, afterMs: 0}];
      case 'already':
        return [
          {type: 'adopt', configuration: current},
          ...this.end({type: 'already', revision: current.revision}),
        ];
      case 'refused':
        return this.end(result);
    }
  }

  private onWritten(): SubmissionCommand[] {
    const {pendingWrite: writing} = this;
    invariant(
      writing !== undefined,
      'ticket.settled',
      () => 'write confirmed without a pending write',
    );
    return [
      {type: 'adopt', configuration: writing.configuration},
      ...this.end({type: 'accepted', revision: writing.configuration.revision}),
    ];
  }

  private retry(): SubmissionCommand[] {
    if (this.pendingWrite === undefined)
      return [{type: 'read', afterMs: RETRY_DELAY_MS}];
    return [{type: 'write', ...this.pendingWrite, afterMs: RETRY_DELAY_MS}];
  }

  private onDeadline(): SubmissionCommand[] {
    if (this.writeUnresolved)
      return this.end({type: 'undetermined', kind: 'ticketUndetermined'});
    return this.end({type: 'undetermined', kind: 'storeUnavailable'});
  }

  private end(answer: TicketAnswer): SubmissionCommand[] {
    this.ended = true;
    return [{type: 'answer', answer}];
  }
}
