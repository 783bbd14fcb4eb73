/** Announces a stand-in server to the node of its VM, repeatedly. */
import type {ServerState} from '@goldcresthill/types';
import {request} from 'undici';

/** What is announced. */
export interface AnnouncerOptions {
  /** Operator interface of the node on this VM. */
  readonly operatorUrl: string;
  readonly service: string;
  readonly port: number;
  readonly slots: number;
  readonly instance: string;
  readonly intervalMs?: number;
}

const DEFAULT_INTERVAL_MS = 1_000;

/** Sends an announcement at once and then at intervals. */
export class Announcer {
  private state: ServerState = 'up';
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AnnouncerOptions) {}

  async start(): Promise<void> {
    await this.announce();
    const intervalMs = this.options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.timer = setInterval(() => void this.announce(), intervalMs);
  }

  /** Says that the server is leaving. */
  async drain(): Promise<void> {
    this.state = 'draining';
    await this.announce();
  }

  close(): void {
    clearInterval(this.timer);
  }

  private async announce(): Promise<void> {
    const {service, port, slots, instance} = this.options;
    const body = JSON.stringify({
      service,
      port,
      slots,
      instance,
      state: this.state,
    });
    try {
      const res = await request(`${this.options.operatorUrl}/announce`, {
        method: 'POST',
        body,
      });
      await res.body.dump();
    } catch {
      // The node may be starting or restarting; the next announcement tells it.
    }
  }
}
