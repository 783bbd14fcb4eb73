/** Tells announcements of a server that are news from those that arrive late. */

/** What orders the announcements of one VM's server. */
export interface AnnouncementMark {
  readonly instance: string;
  /** When the server process started, milliseconds since 1970 by its own clock. */
  readonly startedAt: number;
  /** Rises with each announcement of the process; infinite for its last word. */
  readonly sequence: number;
}

/** Processes told of; more do not leave one VM within the time that reports can be late. */
const MAX_TOLD = 8;

/** Remembers the newest announcement of the newest process, and the processes that have said they leave. */
export class AnnouncementOrder {
  private newest: AnnouncementMark | undefined;
  private readonly left = new Set<string>();

  /** Whether an announcement is news; if so it becomes the newest. */
  accept(mark: AnnouncementMark): boolean {
    const {newest} = this;
    if (newest !== undefined && !isNewer(mark, newest)) return false;
    this.newest = mark;
    return true;
  }

  /** A process leaves, or is known to have left, for good. */
  leave(instance: string): void {
    this.left.add(instance);
  }

  hasLeft(instance: string): boolean {
    return this.left.has(instance);
  }

  get allLeft(): string[] {
    return [...this.left].slice(-MAX_TOLD);
  }

  /** The process that announced last. */
  get current(): AnnouncementMark | undefined {
    return this.newest;
  }
}

function isNewer(mark: AnnouncementMark, newest: AnnouncementMark): boolean {
  if (mark.startedAt !== newest.startedAt) {
    return mark.startedAt > newest.startedAt;
  }
  if (mark.instance !== newest.instance) return true;
  return mark.sequence > newest.sequence;
}
