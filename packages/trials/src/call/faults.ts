/** Faults that a trial may bring about, and where. */

/** Points of a call at which something may go wrong. */
export const CALL_STEPS = [
  'claimWrite',
  'claimRead',
  'attemptRequest',
  'serverRequest',
  'serverAnswer',
  'attemptAnswer',
  'resolveRequest',
  'resolveAnswer',
  'askOwnerRequest',
  'askOwnerAnswer',
  'callerAnswer',
] as const;

export type CallStep = (typeof CALL_STEPS)[number];

/** What may go wrong with a message, or to the process that handles it. */
export const CALL_FAULTS = [
  /** The message is lost and its connection breaks. */
  'lose',
  /** The message is lost; its connection stays open and silent. */
  'silence',
  /** The message arrives long after. */
  'late',
  /** The connection breaks at once, and the message still arrives long after. */
  'brokenLate',
  /** The message arrives twice. */
  'duplicate',
  /** Only part of the message arrives. */
  'truncate',
  /** The message of another call arrives in its place. */
  'swap',
  /** The receiving node dies, and starts anew with nothing remembered. */
  'killNode',
  /** The sending node dies after sending. */
  'killSender',
  /** The receiving node stands still for a while. */
  'pauseNode',
  /** The server of the receiving node dies. */
  'killServer',
  /** The store is down for a while. */
  'storeDown',
  /** Writes to the store take effect and their answers are lost, for a while. */
  'storeLosesAnswers',
  /** Writes to the store take effect late, for a while. */
  'storeLate',
  /** The server of the receiving node starts to leave. */
  'drain',
] as const;

export type CallFault = (typeof CALL_FAULTS)[number];

/** Decides what goes wrong at a step. */
export abstract class FaultPlan {
  abstract faultAt(step: CallStep): CallFault | undefined;
}

/** Nothing goes wrong. */
export class NoFaults extends FaultPlan {
  override faultAt(): undefined {
    return undefined;
  }
}

/** One fault at the nth time that a step is passed. */
export class SingleFault extends FaultPlan {
  private timesReached = 0;
  wasInjected = false;

  constructor(
    private readonly step: CallStep,
    private readonly fault: CallFault,
    private readonly nth: number,
  ) {
    super();
  }

  override faultAt(step: CallStep): CallFault | undefined {
    if (step !== this.step || this.timesReached++ !== this.nth)
      return undefined;
    this.wasInjected = true;
    return this.fault;
  }
}

/** Faults at random, with the same chance at each step. */
export class RandomFaults extends FaultPlan {
  constructor(
    private readonly random: () => number,
    private readonly probability: number,
    private readonly faults: readonly CallFault[] = CALL_FAULTS,
  ) {
    super();
  }

  override faultAt(): CallFault | undefined {
    if (this.random() >= this.probability) return undefined;
    return this.faults[Math.floor(this.random() * this.faults.length)];
  }
}
