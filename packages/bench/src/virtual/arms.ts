/** Arms of routing comparisons: ours, ours without one mechanism, and the baselines. */
import type {PolicyName} from '@goldcresthill/types';
import type {RoutingTrialOptions} from './routing_trial';

/** What an arm changes. */
export type ArmOptions = Pick<
  RoutingTrialOptions,
  | 'policy'
  | 'rules'
  | 'mechanisms'
  | 'adaptiveLimit'
  | 'deadlineAware'
  | 'reroutesWaiting'
  | 'ideal'
>;

/** A baseline as an ordinary balancer has it: no hedging, no re-routing, unbounded queues. */
function plain(policy: PolicyName): ArmOptions {
  const rules = {hedgePercent: 0, maxRetries: 0, queuePerSlot: 100_000};
  return {policy, rules, deadlineAware: false, reroutesWaiting: false};
}

const OURS = {policy: 'expectedTime'} as const;

/** Arms by name. */
export const ARMS = {
  ours: OURS,
  ideal: {...OURS, ideal: true},
  powerOfTwo: plain('powerOfTwo'),
  leastReported: plain('leastReported'),
  roundRobin: plain('roundRobin'),
  random: plain('random'),
  'without hedging': {...OURS, rules: {hedgePercent: 0}},
  'without server time': {...OURS, mechanisms: {serverTime: false}},
  'without reports': {...OURS, mechanisms: {reports: false}},
  'without discount': {...OURS, mechanisms: {discount: false}},
  'without locality': {...OURS, mechanisms: {locality: false}},
  'without error penalty': {...OURS, mechanisms: {errors: false}},
  'without probes': {...OURS, rules: {probePercent: 0}},
  'without shed limit': {...OURS, adaptiveLimit: false},
  'without leaving queues': {...OURS, reroutesWaiting: false},
  'without deadline check': {...OURS, deadlineAware: false},
} as const satisfies Record<string, ArmOptions>;

/** Names of the arms. */
export type ArmName = keyof typeof ARMS;

/** Ours and the baselines. */
export const BASELINE_ARMS: readonly ArmName[] = [
  'ours',
  'powerOfTwo',
  'leastReported',
  'roundRobin',
  'random',
];

/** Ours, and ours without each mechanism in turn. */
export const ABLATION_ARMS: readonly ArmName[] = [
  'ours',
  'without hedging',
  'without server time',
  'without reports',
  'without discount',
  'without locality',
  'without error penalty',
  'without probes',
  'without shed limit',
  'without leaving queues',
  'without deadline check',
];
