/** The configuration in force at one node. */
import type {Configuration} from './configuration';
import {assertNoRevert, deltaSince, EMPTY_CONFIGURATION} from './configuration';

/** What became of a configuration that was offered. */
export type AdoptResult = 'adopted' | 'old' | 'gap';

/** Aggregate that only ever takes higher revisions, whole. */
export class ConfigurationHolder {
  private held: Configuration = EMPTY_CONFIGURATION;

  get current(): Configuration {
    return this.held;
  }

  /** Takes a whole configuration if it is newer. */
  adopt(offered: Configuration): AdoptResult {
    if (offered.revision <= this.held.revision) return 'old';
    assertNoRevert(this.held, offered);
    this.held = offered;
    return 'adopted';
  }

  /**
   * Takes entries that changed since a revision. They lead to the whole of the
   * offered revision only from that revision or a later one.
   */
  adoptDelta(since: number, delta: Configuration): AdoptResult {
    if (delta.revision <= this.held.revision) return 'old';
    if (since > this.held.revision) return 'gap';
    const services = {...this.held.services, ...delta.services};
    return this.adopt({...delta, services});
  }

  /** Entries that a peer at a revision lacks. */
  deltaFor(revision: number): Configuration {
    return deltaSince(this.held, revision);
  }
}
