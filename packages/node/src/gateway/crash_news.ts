/** Turns deaths of servers and completed requests into news for the quarantines of all nodes. */
import type {Logger} from '@goldcresthill/logger';
import type {QuarantineUpdate} from '@goldcresthill/membership';
import type {Quarantine} from '@goldcresthill/quarantine';
import type {Timers} from '@goldcresthill/timers';

/** What the news is made from. */
export interface QuarantineReporterOptions {
  readonly timers: Timers;
  readonly logger: Logger;
  readonly quarantine: () => Quarantine;
  /** Takes news to the gateway of this node and to the other nodes. */
  readonly publish: (news: QuarantineUpdate) => void;
}

export class QuarantineReporter {
  constructor(private readonly options: QuarantineReporterOptions) {}

  /** These requests were in flight at a server that died. */
  reportServerDeath(instance: string, fingerprints: readonly string[]): void {
    const {logger, timers, publish} = this.options;
    logger.warn('serverDied', {instance, inFlight: fingerprints.length});
    const at = timers.wall();
    for (const fingerprint of new Set(fingerprints)) {
      publish({type: 'strike', fingerprint, instance, at});
    }
  }

  /** A request has completed; that is news if it was suspected. */
  reportCompletion(fingerprint: () => string): void {
    const quarantine = this.options.quarantine();
    if (quarantine.isEmpty) return;
    const digest = fingerprint();
    if (!quarantine.isTracked(digest)) return;
    const at = this.options.timers.wall();
    this.options.publish({type: 'clearance', fingerprint: digest, at});
  }
}
