/** Draws the disturbances of a soak from its seed. */
import {ENDLESS_FAULTS, seededRandom} from '@goldcresthill/test-utils';
import type {AnswerFault} from '@goldcresthill/test-utils';

/** `planned` soaks have only planned work, after which no request may be lost; `mixed` ones have faults as well. */
export type SoakProfile = 'planned' | 'mixed';

/** What happens to one VM. */
export type SoakActionType =
  /** SIGTERM, and SIGKILL after the grace period. */
  | 'terminate'
  /** SIGTERM again while the process leaves. */
  | 'terminateTwice'
  /** SIGHUP, SIGTERM at once, and SIGHUP again while the process leaves. */
  | 'terminateAndReload'
  | 'reload'
  /** SIGHUP while the settings file is incomplete. */
  | 'reloadIncomplete'
  /** The server announces that it leaves, serves on, deregisters and ends; another one starts. */
  | 'serverLeaves'
  /** The server deregisters first and serves on. */
  | 'serverDeregisters'
  /** A change of the desired state moves a route to the other service. */
  | 'change'
  | 'kill'
  /** SIGSTOP, and SIGCONT later. */
  | 'freeze'
  | 'serverCrash'
  /** The next answers of the server have a fault. */
  | 'answerFault'
  | 'serverLinkReset'
  | 'serverLinkSilent'
  | 'storeSilent'
  | 'storeCut'
  /** The store never answers the nodes but for one. */
  | 'storeSilentToOthers';

/** One action of a plan. */
export interface SoakAction {
  /** Time after the start of the traffic, milliseconds. */
  readonly atMs: number;
  readonly type: SoakActionType;
  readonly vm: number;
  /** How long it lasts, milliseconds, where that applies. */
  readonly durationMs: number;
  /** Fault of answers, for `answerFault`. */
  readonly fault: AnswerFault;
}

/** Options of planSoak. */
export interface SoakPlanOptions {
  readonly seed: number;
  readonly profile: SoakProfile;
  readonly vms: number;
  /** Time in which actions begin, milliseconds. */
  readonly durationMs: number;
  /** Mean time between actions, milliseconds. */
  readonly intervalMs: number;
}

const PLANNED_ACTIONS: readonly SoakActionType[] = [
  'terminate',
  'terminate',
  'terminateTwice',
  'terminateAndReload',
  'reload',
  'reloadIncomplete',
  'serverLeaves',
  'serverDeregisters',
  'change',
  'change',
];
const MIXED_ACTIONS: readonly SoakActionType[] = [
  ...PLANNED_ACTIONS,
  'kill',
  'kill',
  'freeze',
  'serverCrash',
  'answerFault',
  'answerFault',
  'serverLinkReset',
  'serverLinkSilent',
  'storeSilent',
  'storeCut',
  'storeSilentToOthers',
];
const ANSWER_FAULTS: readonly AnswerFault[] = [
  'lost',
  'repeated',
  'garbage',
  'truncated',
  ...ENDLESS_FAULTS,
  'silent',
];
const MIN_DURATION_MS = 100;
const MAX_DURATION_MS = 3_000;

/** Returns the actions of a soak in order of time; the same for the same options. */
export function planSoak(options: SoakPlanOptions): SoakAction[] {
  const {seed, profile, vms, durationMs, intervalMs} = options;
  const random = seededRandom(seed);
  const pick = <T>(list: readonly T[]): T =>
    list[Math.floor(random() * list.length)] as T;
  const types = profile === 'planned' ? PLANNED_ACTIONS : MIXED_ACTIONS;
  const actions: SoakAction[] = [];
  for (let atMs = 0; ;) {
    // Between nothing and twice the mean, so that actions overlap.
    atMs += random() * 2 * intervalMs;
    if (atMs >= durationMs) return actions;
    actions.push({
      atMs: Math.round(atMs),
      type: pick(types),
      vm: Math.floor(random() * vms),
      durationMs: Math.round(
        MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS),
      ),
      fault: pick(ANSWER_FAULTS),
    });
  }
}
