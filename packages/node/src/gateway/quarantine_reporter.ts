/** Publishes quarantine updates to all nodes when a server dies and when a suspected request completes. */
import type {Logger} from '@goldcresthill/logger';
import type {QuarantineUpdate} from '@goldcresthill/membership';
import type {Quarantine} from '@goldcresthill/quarantine';
import type {Timers} from '@goldcresthill/timers';

/** Options of QuarantineReporter. */
export interface QuarantineReporterOptions {
  readonly timers: Timers;
  readonly logger: Logger;
  readonly quarantine: () => Quarantine;
  /** Applies an update at this node's gateway and sends it to the other nodes. */
  readonly publish: (update: QuarantineUpdate) => void;
}

/** Reports strikes and clearances of one node. */
export class QuarantineReporter {
  constructor(private readonly options: QuarantineReporterOptions) {}

  /** Publishes a strike against each request that was in flight at a server instance that died. */
  reportServerDeath(instance: string, fingerprints: readonly string[]): void {
    const {logger, timers, publish} = this.options;
    logger.warn('serverDied', {instance, inFlight: fingerprints.length});
    const at = timers.wall();
    for (const fingerprint of new Set(fingerprints)) {
      publish({type: 'strike', fingerprint, instance, at});
    }
  }

  /** Publishes a clearance for a completed request if the quarantine tracks it. */
  reportCompletion(fingerprint: () => string): void {
    const quarantine = this.options.quarantine();
    if (quarantine.isEmpty) return;
    const digest = fingerprint();
    if (!quarantine.isTracked(digest)) return;
    const at = this.options.timers.wall();
    this.options.publish({type: 'clearance', fingerprint: digest, at});
  }
}
