/** Arms of the routing comparison, that is the configurations under comparison: ours, ours without one mechanism, and the baselines. */
import type {PolicyName} from '@goldcresthill/types';
import type {RoutingTrialOptions} from './routing_trial';

/** The trial options that an arm sets. */
export type ArmOptions = Pick<
  RoutingTrialOptions,
  'policy' | 'rules' | 'scoringFeatures' | 'ideal'
>;

/** A baseline that behaves like an ordinary load balancer: no hedging, no retries, no re-routing, no deadline checks and practically unbounded queues. */
function baseline(policy: PolicyName): ArmOptions {
  return {
    policy,
    rules: {
      hedgePercent: 0,
      maxRetries: 0,
      queuePerSlot: 100_000,
      disabled: ['deadlineCheck', 'leavingQueues'],
    },
  };
}

const OURS = {policy: 'expectedTime'} as const;

/** Arms by their name on the command line and in results. */
export const ARMS = {
  ours: OURS,
  ideal: {...OURS, ideal: true},
  powerOfTwo: baseline('powerOfTwo'),
  leastReported: baseline('leastReported'),
  roundRobin: baseline('roundRobin'),
  random: baseline('random'),
  'without hedging': {...OURS, rules: {hedgePercent: 0}},
  'without server time': {...OURS, scoringFeatures: {serverTime: false}},
  'without reports': {...OURS, scoringFeatures: {reports: false}},
  'without discount': {...OURS, scoringFeatures: {discount: false}},
  'without locality': {...OURS, scoringFeatures: {locality: false}},
  'without error penalty': {...OURS, scoringFeatures: {errors: false}},
  'without probes': {...OURS, rules: {probePercent: 0}},
  'without shed limit': {...OURS, rules: {disabled: ['shedLimit']}},
  'without leaving queues': {...OURS, rules: {disabled: ['leavingQueues']}},
  'without slow periods': {...OURS, rules: {disabled: ['slowPeriods']}},
  'without setting aside': {...OURS, rules: {disabled: ['settingAside']}},
  'without deadline check': {...OURS, rules: {disabled: ['deadlineCheck']}},
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

/** Ours, and ours without one mechanism each. */
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
  'without slow periods',
  'without setting aside',
  'without deadline check',
];
