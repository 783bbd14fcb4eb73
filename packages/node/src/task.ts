/** Base of the tasks that own sockets and state and talk by messages. */

/** Takes messages in order, one at a time. */
export abstract class Task<Message> {
  private readonly inbox: Message[] = [];
  private handling = false;
  protected closed = false;

  /** Hands a message over. It is handled at once unless the task is busy with another. */
  post(message: Message): void {
    if (this.closed) return;
    this.inbox.push(message);
    if (this.handling) return;
    this.handling = true;
    try {
      this.drainInbox();
    } finally {
      this.handling = false;
    }
  }

  /** Releases all that the task owns. */
  abstract close(): Promise<void>;

  protected abstract handle(message: Message): void;

  /** A message could not be handled; the task goes on with the next. */
  protected abstract onFault(err: unknown): void;

  private drainInbox(): void {
    for (;;) {
      const message = this.inbox.shift();
      if (message === undefined) return;
      try {
        this.handle(message);
      } catch (err) {
        this.onFault(err);
      }
    }
  }
}
