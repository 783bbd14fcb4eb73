/** Announces a stand-in server to the node of its VM at regular intervals. */
import type {ServerState} from '@goldcresthill/types';
import {request} from 'undici';

/** Options of an announcer. */
export interface AnnouncerOptions {
  /** URL of the operator interface of the node on this VM. */
  readonly operatorUrl: string;
  readonly service: string;
  readonly port: number;
  readonly slots: number;
  readonly instance: string;
  readonly intervalMs?: number;
}

const DEFAULT_INTERVAL_MS = 1_000;

/** Sends an announcement on start and then at intervals until closed. */
export class Announcer {
  private state: ServerState = 'up';
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AnnouncerOptions) {}

  async start(): Promise<void> {
    await this.announce();
    const intervalMs = this.options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.timer = setInterval(() => void this.announce(), intervalMs);
  }

  /** Announces the server as draining, now and from then on. */
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
      // The node may be starting or restarting; the next announcement reaches it.
    }
  }
}
