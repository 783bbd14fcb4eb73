/** One operator's submission of a ticket, through lost answers and races. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {Configuration} from './configuration';
import {acceptTicket, EMPTY_CONFIGURATION} from './configuration';
import type {Ticket} from './ticket';

/** What the operator is told. */
export type TicketAnswer =
  | {readonly type: 'accepted'; readonly revision: number}
  | {readonly type: 'already'; readonly revision: number}
  | {
      readonly type: 'refused';
      readonly kind: ErrorKind;
      readonly service: string;
      readonly inForce: number;
    }
  | {readonly type: 'undetermined'; readonly kind: ErrorKind};

/** Something that the store said. A version of 0 stands for a missing object. */
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

/** What is to be done next. */
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

const RETRY_DELAY_MS = 100;

/**
 * Aggregate that settles a lost answer by repeating the same conditional write
 * until the store answers. A conflict then proves that no delayed copy can
 * still land, as its version has passed.
 */
export class TicketSubmission {
  private pendingWrite:
    {configuration: Configuration; version: number} | undefined;
  private writeUnresolved = false;
  private ended = false;

  constructor(private readonly ticket: Ticket) {}

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
      () => 'a read while a write is open',
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
      () => 'written without a write',
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
