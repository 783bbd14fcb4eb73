/** Detects announcements of a server that arrive out of order. */

/** Orders the announcements of the server on one VM: by start of the process, then by sequence. */
export interface AnnouncementVersion {
  /** Identifies the server process. */
  readonly instance: string;
  /** When the server process started by its own clock, milliseconds since 1970. */
  readonly startedAt: number;
  /** Increases with each announcement of the process; infinite for its last one. */
  readonly sequence: number;
}

/** Most processes returned as left; no more leave one VM within the time by which a report can be delayed. */
const MAX_LEFT_INSTANCES = 8;

/** Records the newest announcement of the newest process, and the processes that announced their shutdown. */
export class AnnouncementOrder {
  private newest: AnnouncementVersion | undefined;
  private readonly left = new Set<string>();

  /** Returns whether an announcement is newer than all before; if so, records it as the newest. */
  accept(version: AnnouncementVersion): boolean {
    const {newest} = this;
    if (newest !== undefined && !isNewer(version, newest)) return false;
    this.newest = version;
    return true;
  }

  /** Records that a process is shutting down or has ended for good. */
  markLeft(instance: string): void {
    this.left.add(instance);
  }

  hasLeft(instance: string): boolean {
    return this.left.has(instance);
  }

  /** The latest processes recorded as left, at most `MAX_LEFT_INSTANCES`, oldest first. */
  get leftInstances(): string[] {
    return [...this.left].slice(-MAX_LEFT_INSTANCES);
  }

  /** The newest announcement, if there was any. */
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
