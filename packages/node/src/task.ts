/** Base class of tasks, which own sockets and state and communicate by messages. */

/** Handles messages in order, one at a time. */
export abstract class Task<Message> {
  private readonly inbox: Message[] = [];
  private handling = false;
  protected closed = false;

  /** Queues a message. It is handled before this returns, unless the task is handling another; ignored after closing. */
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

  /** Closes all sockets and timers of the task. */
  abstract close(): Promise<void>;

  protected abstract handle(message: Message): void;

  /** Called when handling a message failed; the task continues with the next message. */
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
