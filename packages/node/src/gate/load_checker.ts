/** Asks the server of this VM for its load, as its speed changes within milliseconds. */
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, ServiceRules} from '@goldcresthill/types';
import type {ServerConnections} from './server_connections';
import type {ServerInterface, ServerLoad} from './server_interface';

/** What a checker starts from. */
export interface LoadCheckerOptions {
  readonly timers: Timers;
  readonly connections: ServerConnections;
  readonly server: ServerInterface;
  readonly onLoad: (load: ServerLoad) => void;
  /** Requests wait for what the next check says. */
  readonly isUrgent: () => boolean;
}

const MILLIS_PER_SECOND = 1_000;
/** Urgent checks are that many times as frequent. */
const URGENT_RATIO = 2;

/** One question at a time, at the rate of the service's rules. */
export class LoadChecker {
  private timer: Cancel | undefined;
  private path = '';
  private perSecond = 0;
  private asking = false;
  private learntAt: Millis = -Infinity;

  constructor(private readonly options: LoadCheckerOptions) {}

  configure(rules: ServiceRules): void {
    const {loadPath, loadChecksPerSecond} = rules;
    if (loadPath === this.path && loadChecksPerSecond === this.perSecond)
      return;
    this.path = loadPath;
    this.perSecond = loadChecksPerSecond;
    this.timer?.();
    this.timer = undefined;
    if (loadPath === '' || loadChecksPerSecond === 0) return;
    this.checkLater();
  }

  /** An answer brought the load, so that the next question can wait. */
  noteLearnt(): void {
    this.learntAt = this.options.timers.now();
  }

  close(): void {
    this.timer?.();
    this.timer = undefined;
  }

  private get gapMs(): Millis {
    const perSecond = this.options.isUrgent()
      ? this.perSecond * URGENT_RATIO
      : this.perSecond;
    return MILLIS_PER_SECOND / perSecond;
  }

  private checkLater(): void {
    this.timer = this.options.timers.after(this.gapMs, () => {
      this.ask();
      this.checkLater();
    });
  }

  private ask(): void {
    const {connections, server, timers, onLoad} = this.options;
    const fresh = timers.now() - this.learntAt < this.gapMs / 2;
    if (this.asking || fresh) return;
    this.asking = true;
    connections.ask(this.path, result => {
      this.asking = false;
      if (result.type === 'broke') return;
      const load = server.loadOf(result.headers);
      if (load === undefined) return;
      onLoad(load);
    });
  }
}
