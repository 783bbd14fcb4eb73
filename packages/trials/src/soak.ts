/** Long randomised runs over all worlds. */
import {seededRandom} from '@goldcresthill/test-utils';
import {InvariantError} from '@goldcresthill/types';
import {runCallTrial} from './call/call_world';
import {CALL_FAULTS, RandomFaults} from './call/faults';
import type {CallFault} from './call/faults';
import {OracleError} from './call/oracle';
import {runTicketTrial} from './config/ticket_trial';

/** A trial that found something broken. */
export interface SoakFailure {
  readonly kind: 'calls' | 'tickets';
  readonly seed: number;
  readonly promise: string;
  /** The least faults with which the same seed still breaks the same promise. */
  readonly faults: readonly CallFault[];
  readonly requests: number;
  readonly message: string;
}

/** What a soak came to. */
export interface SoakReport {
  readonly callTrials: number;
  readonly ticketTrials: number;
  readonly requests: number;
  readonly failures: readonly SoakFailure[];
}

/** What a soak starts from. */
export interface SoakOptions {
  readonly seed: number;
  /** Asked before each round of trials. */
  readonly goOn: () => boolean;
  readonly onProgress: (report: SoakReport) => void;
}

const CALL_TRIALS_PER_ROUND = 200;
const TICKET_TRIALS_PER_ROUND = 10;
const REQUESTS = 12;
const CHANCES = [0.01, 0.03, 0.06, 0.12];

/** Runs rounds of trials with rising seeds until told to stop or something breaks. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  let {seed} = options;
  let report: SoakReport = {
    callTrials: 0,
    ticketTrials: 0,
    requests: 0,
    failures: [],
  };
  while (options.goOn() && report.failures.length === 0) {
    for (let i = 0; i < CALL_TRIALS_PER_ROUND; i++) {
      const failure = await tryCalls(seed, CALL_FAULTS, REQUESTS);
      report = count(report, 'callTrials', failure);
      report = {...report, requests: report.requests + REQUESTS};
      seed++;
    }
    for (let i = 0; i < TICKET_TRIALS_PER_ROUND; i++) {
      report = count(report, 'ticketTrials', await tryTickets(seed++));
    }
    options.onProgress(report);
  }
  const failures = await Promise.all(report.failures.map(shrink));
  return {...report, failures};
}

function count(
  report: SoakReport,
  which: 'callTrials' | 'ticketTrials',
  failure: SoakFailure | undefined,
): SoakReport {
  const failures =
    failure === undefined ? report.failures : [...report.failures, failure];
  return {...report, [which]: report[which] + 1, failures};
}

async function tryCalls(
  seed: number,
  faults: readonly CallFault[],
  requests: number,
): Promise<SoakFailure | undefined> {
  const chance = CHANCES[seed % CHANCES.length] ?? 0;
  try {
    const plan = new RandomFaults(seededRandom(seed * 7 + 1), chance, faults);
    await runCallTrial({seed, faults: plan, requests});
    return undefined;
  } catch (err) {
    return {kind: 'calls', seed, faults, requests, ...describe(err)};
  }
}

async function tryTickets(seed: number): Promise<SoakFailure | undefined> {
  try {
    await runTicketTrial({seed, tickets: 12, disturbances: 8});
    return undefined;
  } catch (err) {
    return {kind: 'tickets', seed, faults: [], requests: 0, ...describe(err)};
  }
}

function describe(err: unknown): {promise: string; message: string} {
  if (err instanceof OracleError)
    return {promise: err.promise, message: err.message};
  if (err instanceof InvariantError)
    return {promise: err.rule, message: err.message};
  throw err;
}

/** Leaves out kinds of fault and requests as long as the same promise breaks. */
async function shrink(failure: SoakFailure): Promise<SoakFailure> {
  if (failure.kind !== 'calls') return failure;
  let least = failure;
  for (const fault of failure.faults) {
    const fewer = least.faults.filter(f => f !== fault);
    const again = await tryCalls(failure.seed, fewer, least.requests);
    if (again?.promise === failure.promise) least = again;
  }
  for (let requests = least.requests - 1; requests > 0; requests--) {
    const again = await tryCalls(failure.seed, least.faults, requests);
    if (again?.promise === failure.promise) least = again;
  }
  return least;
}
