/** Mechanisms of routing and admission that can be switched off, to measure what each is worth. */
import type {ServiceRules} from './service';

/** Names of the mechanisms in settings and experiments. None of them is needed for a guarantee. */
export const MECHANISMS = [
  /** Hedged attempts. */
  'hedging',
  /** Requests wait until a slow period of their server ends. */
  'slowPeriods',
  /** Servers are asked for their load before one is chosen. */
  'loadQueries',
  /** A call that no queried gate would admit is refused at once. */
  'admissionEstimates',
  /** The concurrency limit shrinks when the server sheds requests. */
  'shedLimit',
  /** Requests are refused that are expected to miss their deadline or objective. */
  'deadlineCheck',
  /** Queued requests are refused while another server can still answer them in time. */
  'leavingQueues',
  /** Nested calls go first. */
  'nestedCalls',
  /** Requests are queued by the priority of their route. */
  'priorities',
  /** Callers that were refused before go ahead of new ones. */
  'returningCallers',
  /** Servers in other failure domains count as farther. */
  'locality',
  /** Calls stay in their failure domain while it answers them within their objective. */
  'domainSpill',
  /** Servers are avoided by their share of errors. */
  'errorPenalty',
  /** Servers are set aside while attempts at them fail. */
  'settingAside',
  /** Servers are filled up to a share of their slots only. */
  'slotShare',
] as const;

export type Mechanism = (typeof MECHANISMS)[number];

const ALL_SLOTS_PERCENT = 100;

/** Returns the rules of a configuration, which knows no switches, with mechanisms switched off. */
export function withoutMechanisms(
  rules: Omit<ServiceRules, 'disabled'>,
  disabled: readonly Mechanism[],
): ServiceRules {
  return {
    ...rules,
    disabled,
    ...(disabled.includes('hedging') && {hedgePercent: 0}),
    ...(disabled.includes('slotShare') && {slotPercent: ALL_SLOTS_PERCENT}),
  };
}
