/** Decides how long a process that has started again uses a server that may have left before its start. */
import type {Millis} from '@goldcresthill/types';

/** What shows that an announcement was made after the start of the process that received it. */
export type AnnouncementEvidence =
  /** The server itself has started since. */
  | 'startedLater'
  /** It came on a connection on which this process had answered an earlier one. */
  | 'sameConnection'
  /** Nothing; it may have been under way since before the start. */
  | 'none';

/** An announcement that a server is up. */
export interface ServerAnnouncement {
  /** Identifies the server process. */
  readonly instance: string;
  /** Increases with each announcement of the server process. */
  readonly sequence: number;
  readonly evidence: AnnouncementEvidence;
}

/** Options of ServerVerification. */
export interface ServerVerificationOptions {
  /** Time of the start of this process. */
  readonly startedAt: Millis;
  /** Time since the start for which an unverified server is used, milliseconds. */
  readonly graceMs: Millis;
  /** Usual interval of a server's announcements, milliseconds. */
  readonly intervalMs: Millis;
}

/** Least time between announcements that verify a server, as a fraction of their interval; delayed ones arrive together. */
const MIN_INTERVAL_FRACTION = 0.5;
/** Later announcements that verify a server if each comes on a connection of its own. */
const UNRELATED_ANNOUNCEMENTS = 2;

interface Candidate {
  readonly instance: string;
  sequence: number;
  /** Time of the last announcement that counted. */
  at: Millis;
  /** Announcements that counted after the first one. */
  later: number;
  isVerified: boolean;
}

/**
 * Knows whether the server of a VM is verified: known to have announced itself
 * since this process started. An earlier process of the node may have acknowledged
 * that the server leaves without a trace that survived it, and an announcement
 * from before that may arrive late. Until the grace period ends, an unverified
 * server is used all the same, as after a restart of all nodes there is no other.
 */
export class ServerVerification {
  private candidate: Candidate | undefined;

  constructor(private readonly options: ServerVerificationOptions) {}

  /** Time at which unverified servers are no longer used. */
  get graceEndsAt(): Millis {
    return this.options.startedAt + this.options.graceMs;
  }

  /** Records an announcement, in the order of their sequences. */
  record(now: Millis, announcement: ServerAnnouncement): void {
    const {instance, sequence, evidence} = announcement;
    const {candidate} = this;
    if (candidate?.instance !== instance) {
      const isVerified = evidence === 'startedLater';
      this.candidate = {instance, sequence, at: now, later: 0, isVerified};
      return;
    }
    const minIntervalMs = this.options.intervalMs * MIN_INTERVAL_FRACTION;
    if (sequence <= candidate.sequence || now - candidate.at < minIntervalMs)
      return;
    candidate.sequence = sequence;
    candidate.at = now;
    candidate.later++;
    candidate.isVerified ||=
      evidence === 'sameConnection' ||
      candidate.later >= UNRELATED_ANNOUNCEMENTS;
  }

  /** Whether a server may get requests. */
  mayUse(now: Millis, instance: string): boolean {
    return now < this.graceEndsAt || this.isVerified(instance);
  }

  isVerified(instance: string): boolean {
    const {candidate} = this;
    return candidate?.instance === instance && candidate.isVerified;
  }
}
