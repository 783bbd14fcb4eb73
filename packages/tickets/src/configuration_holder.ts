/** Configuration in force at one node. */
import type {Configuration} from './configuration';
import {assertNoRevert, deltaSince, EMPTY_CONFIGURATION} from './configuration';

/** Result of adopting a configuration; 'gap' means that entries between the two revisions are missing. */
export type AdoptResult = 'adopted' | 'old' | 'gap';

/** Holds the configuration in force and replaces it only by complete ones of a higher revision. */
export class ConfigurationHolder {
  private held: Configuration = EMPTY_CONFIGURATION;

  get current(): Configuration {
    return this.held;
  }

  /** Replaces the configuration by a complete one if that is newer. Throws InvariantError if a service would revert to an earlier ticket. */
  adopt(offered: Configuration): AdoptResult {
    if (offered.revision <= this.held.revision) return 'old';
    assertNoRevert(this.held, offered);
    this.held = offered;
    return 'adopted';
  }

  /**
   * Merges the entries that changed since a revision. The result is complete only
   * if the configuration in force is of that revision or a later one; otherwise
   * nothing changes and the result is 'gap'.
   */
  adoptDelta(since: number, delta: Configuration): AdoptResult {
    if (delta.revision <= this.held.revision) return 'old';
    if (since > this.held.revision) return 'gap';
    const services = {...this.held.services, ...delta.services};
    return this.adopt({...delta, services});
  }

  /** Returns the entries that a peer at this revision is missing. */
  deltaFor(revision: number): Configuration {
    return deltaSince(this.held, revision);
  }
}
