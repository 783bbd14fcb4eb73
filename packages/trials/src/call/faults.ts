/** Faults that a call trial can inject, the steps at which it can inject them, and plans that choose them. */

/** Messages and store calls at which a fault can be injected. */
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

/** Faults of a message, of the processes that exchange it, or of the store. */
export const CALL_FAULTS = [
  /** The message is lost and its connection breaks. */
  'lose',
  /** The message is lost; its connection stays open. */
  'silence',
  /** The message arrives after a long delay. */
  'late',
  /** The connection breaks at once, and the message still arrives after a long delay. */
  'brokenLate',
  /** The message arrives twice. */
  'duplicate',
  /** Only part of the message arrives. */
  'truncate',
  /** The next answer from a gate is replaced by the previous one, which belongs to another attempt. */
  'swap',
  /** The receiving node dies and restarts with empty state. */
  'killNode',
  /** The sending node dies after sending. */
  'killSender',
  /** The receiving node pauses for a while. */
  'pauseNode',
  /** The server of the receiving node dies. */
  'killServer',
  /** The store is down for a while. */
  'storeDown',
  /** For a while, writes to the store take effect but their answers are lost. */
  'storeLosesAnswers',
  /** For a while, writes to the store time out and take effect after a delay. */
  'storeLate',
  /** The server of the receiving node starts to drain. */
  'drain',
] as const;

export type CallFault = (typeof CALL_FAULTS)[number];

/** Chooses which fault, if any, to inject each time that a step is reached. */
export abstract class FaultPlan {
  abstract faultAt(step: CallStep): CallFault | undefined;
}

/** Injects no faults. */
export class NoFaults extends FaultPlan {
  override faultAt(): undefined {
    return undefined;
  }
}

/** Injects one fault at the nth time, counted from 0, that a step is reached. */
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

/** Injects random faults, with the same probability at each step. */
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
