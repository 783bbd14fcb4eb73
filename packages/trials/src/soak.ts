/** Runs randomised trials of calls and tickets until told to stop or until one fails. */
import {seededRandom} from '@goldcresthill/test-utils';
import {InvariantError} from '@goldcresthill/types';
import {runCallTrial} from './call/call_simulation';
import {CALL_FAULTS, RandomFaults} from './call/faults';
import type {CallFault} from './call/faults';
import {GuaranteeError} from './call/guarantee_checker';
import {runTicketTrial} from './config/ticket_trial';

/** A trial that violated a guarantee or an internal invariant. */
export interface SoakFailure {
  readonly kind: 'calls' | 'tickets';
  readonly seed: number;
  /** Name of the violated guarantee or invariant. */
  readonly guarantee: string;
  /**
   * Fault kinds left after minimising: the same seed still violates the same
   * guarantee. Empty for tickets.
   */
  readonly faults: readonly CallFault[];
  readonly requests: number;
  readonly message: string;
}

/** Totals of a soak, and the failures of its last round. */
export interface SoakReport {
  readonly callTrials: number;
  readonly ticketTrials: number;
  readonly requests: number;
  readonly failures: readonly SoakFailure[];
}

/** Options of runSoak. */
export interface SoakOptions {
  /** Seed of the first trial; each further trial uses the next number. */
  readonly seed: number;
  /** Called before each round of trials; returns false to end the soak. */
  readonly shouldContinue: () => boolean;
  readonly onProgress: (report: SoakReport) => void;
}

const CALL_TRIALS_PER_ROUND = 200;
const TICKET_TRIALS_PER_ROUND = 10;
const REQUESTS_PER_TRIAL = 12;
const FAULT_PROBABILITIES = [0.01, 0.03, 0.06, 0.12];

/**
 * Runs rounds of trials with increasing seeds until `shouldContinue` returns
 * false or a round has failures. Resolves once the failures are minimised.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  let {seed} = options;
  let report: SoakReport = {
    callTrials: 0,
    ticketTrials: 0,
    requests: 0,
    failures: [],
  };
  while (options.shouldContinue() && report.failures.length === 0) {
    for (let i = 0; i < CALL_TRIALS_PER_ROUND; i++) {
      const failure = await tryCallTrial(seed, CALL_FAULTS, REQUESTS_PER_TRIAL);
      report = addTrial(report, 'callTrials', failure);
      report = {...report, requests: report.requests + REQUESTS_PER_TRIAL};
      seed++;
    }
    for (let i = 0; i < TICKET_TRIALS_PER_ROUND; i++) {
      report = addTrial(report, 'ticketTrials', await tryTicketTrial(seed++));
    }
    options.onProgress(report);
  }
  const failures = await Promise.all(report.failures.map(shrink));
  return {...report, failures};
}

function addTrial(
  report: SoakReport,
  counter: 'callTrials' | 'ticketTrials',
  failure: SoakFailure | undefined,
): SoakReport {
  const failures =
    failure === undefined ? report.failures : [...report.failures, failure];
  return {...report, [counter]: report[counter] + 1, failures};
}

async function tryCallTrial(
  seed: number,
  faults: readonly CallFault[],
  requests: number,
): Promise<SoakFailure | undefined> {
  const probability =
    FAULT_PROBABILITIES[seed % FAULT_PROBABILITIES.length] ?? 0;
  try {
    const plan = new RandomFaults(
      seededRandom(seed * 7 + 1),
      probability,
      faults,
    );
    await runCallTrial({seed, faults: plan, requests});
    return undefined;
  } catch (err) {
    return {kind: 'calls', seed, faults, requests, ...describeFailure(err)};
  }
}

async function tryTicketTrial(seed: number): Promise<SoakFailure | undefined> {
  try {
    await runTicketTrial({seed, tickets: 12, faultCount: 8});
    return undefined;
  } catch (err) {
    return {
      kind: 'tickets',
      seed,
      faults: [],
      requests: 0,
      ...describeFailure(err),
    };
  }
}

function describeFailure(err: unknown): {guarantee: string; message: string} {
  if (err instanceof GuaranteeError)
    return {guarantee: err.guarantee, message: err.message};
  if (err instanceof InvariantError)
    return {guarantee: err.rule, message: err.message};
  throw err;
}

/** Removes fault kinds and requests from a failed call trial while the same guarantee is still violated. */
async function shrink(failure: SoakFailure): Promise<SoakFailure> {
  if (failure.kind !== 'calls') return failure;
  let minimal = failure;
  for (const fault of failure.faults) {
    const remaining = minimal.faults.filter(f => f !== fault);
    const reproduced = await tryCallTrial(
      failure.seed,
      remaining,
      minimal.requests,
    );
    if (reproduced?.guarantee === failure.guarantee) minimal = reproduced;
  }
  for (let requests = minimal.requests - 1; requests > 0; requests--) {
    const reproduced = await tryCallTrial(
      failure.seed,
      minimal.faults,
      requests,
    );
    if (reproduced?.guarantee === failure.guarantee) minimal = reproduced;
  }
  return minimal;
}
