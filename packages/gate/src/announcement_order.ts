/** Tells announcements of a server that are news from those that arrive late. */

/** What orders the announcements of one VM's server. */
export interface AnnouncementVersion {
  readonly instance: string;
  /** When the server process started, milliseconds since 1970 by its own clock. */
  readonly startedAt: number;
  /** Rises with each announcement of the process; infinite for its last word. */
  readonly sequence: number;
}

/** Processes told of; more do not leave one VM within the time that reports can be late. */
const MAX_LEFT_INSTANCES = 8;

/** Remembers the newest announcement of the newest process, and the processes that have said they leave. */
export class AnnouncementOrder {
  private newest: AnnouncementVersion | undefined;
  private readonly left = new Set<string>();

  /** Whether an announcement is news; if so it becomes the newest. */
  accept(version: AnnouncementVersion): boolean {
    const {newest} = this;
    if (newest !== undefined && !isNewer(version, newest)) return false;
    this.newest = version;
    return true;
  }

  /** A process leaves, or is known to have left, for good. */
  markLeft(instance: string): void {
    this.left.add(instance);
  }

  hasLeft(instance: string): boolean {
    return this.left.has(instance);
  }

  get leftInstances(): string[] {
    return [...this.left].slice(-MAX_LEFT_INSTANCES);
  }

  /** The process that announced last. */
  get current(): AnnouncementVersion | undefined {
    return this.newest;
  }
}

function isNewer(
  version: AnnouncementVersion,
  newest: AnnouncementVersion,
): boolean {
  if (version.startedAt !== newest.startedAt) {
    return version.startedAt > newest.startedAt;
  }
  if (version.instance !== newest.instance) return true;
  return version.sequence > newest.sequence;
}
