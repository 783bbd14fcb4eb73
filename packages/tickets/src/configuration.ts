/** Configuration of all services: for each its rules and the ticket that set them. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {ServiceRules} from '@goldcresthill/types';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import type {Ticket} from './ticket';

/** Configuration of one service. */
export interface ServiceEntry {
  /** Number of the ticket that set this entry. */
  readonly ticket: number;
  /** Revision of the configuration in which this entry was set. */
  readonly revision: number;
  /** Undefined for a service that the ticket removed. */
  readonly rules?: ServiceRules | undefined;
}

/** A configuration, stored as one object in the object store. */
export interface Configuration {
  /** Increases by one with each accepted ticket. */
  readonly revision: number;
  readonly services: Readonly<Record<string, ServiceEntry>>;
  /** The newest accepted tickets, by which one that is submitted again is recognised. */
  readonly recent: ReadonlyArray<{
    readonly number: number;
    readonly digest: string;
  }>;
}

/** Result of acceptTicket. */
export type AcceptTicketResult =
  | {readonly type: 'accepted'; readonly configuration: Configuration}
  /** The same ticket has been accepted before. */
  | {readonly type: 'already'}
  | {
      readonly type: 'refused';
      readonly kind: ErrorKind;
      readonly service: string;
      /** Number of the ticket in force for that service. */
      readonly inForce: number;
    };

/** Path of the configuration in the object store. */
export const CONFIGURATION_PATH = 'configuration';

/** Configuration before the first ticket. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  services: {},
  recent: [],
};

/** Most entries in `recent`. */
const MAX_RECENT_TICKETS = 200;

/** Schema of a configuration received from the object store or another node. */
export const configurationSchema = z.object({
  revision: z.number().int().nonnegative(),
  services: z.record(
    z.string(),
    z.object({
      ticket: z.number().int().positive(),
      revision: z.number().int().positive(),
      rules: z.custom<ServiceRules>(isObject).optional(),
    }),
  ),
  recent: z.array(z.object({number: z.number().int(), digest: z.string()})),
});

function isObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}

/** Parses a configuration; the error is a message that describes what is invalid. */
export function parseConfiguration(
  text: string,
): Result<Configuration, string> {
  try {
    const parsed = configurationSchema.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : err(parsed.error.message);
  } catch (e) {
    return err(String(e));
  }
}

/**
 * Applies a ticket to a configuration, completely or not at all. Refuses a ticket
 * whose number is not higher than the one in force for one of its services
 * (`staleTicket`), or that a recent ticket of other content has (`ticketConflict`).
 */
export function acceptTicket(
  current: Configuration,
  ticket: Ticket,
): AcceptTicketResult {
  const sameNumber = current.recent.find(
    entry => entry.number === ticket.number,
  );
  if (sameNumber !== undefined && sameNumber.digest === ticket.digest)
    return {type: 'already'};
  const revision = current.revision + 1;
  const services: Record<string, ServiceEntry> = {...current.services};
  for (const [name, rules] of ticket.services) {
    const inForce = current.services[name]?.ticket ?? 0;
    if (ticket.number <= inForce) return refuse('staleTicket', name, inForce);
    if (sameNumber !== undefined)
      return refuse('ticketConflict', name, ticket.number);
    services[name] = {ticket: ticket.number, revision, rules};
  }
  const recent = [
    ...current.recent,
    {number: ticket.number, digest: ticket.digest},
  ];
  const configuration = {
    revision,
    services,
    recent: recent.slice(-MAX_RECENT_TICKETS),
  };
  assertNoRevert(current, configuration);
  return {type: 'accepted', configuration};
}

/** Returns a configuration with only the entries set after a revision; merged into that revision they give this one. */
export function deltaSince(
  configuration: Configuration,
  revision: number,
): Configuration {
  const entries = Object.entries(configuration.services).filter(
    ([, entry]) => entry.revision > revision,
  );
  return {...configuration, services: Object.fromEntries(entries)};
}

/** Whether a configuration lacks a ticket of another one, as a store does that was restored from an older copy. */
export function lacksTickets(
  configuration: Configuration,
  other: Configuration,
): boolean {
  return Object.entries(other.services).some(
    ([name, {ticket}]) => ticket > (configuration.services[name]?.ticket ?? 0),
  );
}

/**
 * Merges two configurations of which each may lack tickets of the other. The
 * newest ticket of each service wins. Entries that differ get the new revision,
 * so that the delta to either configuration contains them.
 */
export function mergeConfigurations(
  a: Configuration,
  b: Configuration,
): Configuration {
  const revision = Math.max(a.revision, b.revision) + 1;
  const services: Record<string, ServiceEntry> = {};
  for (const name of Object.keys({...a.services, ...b.services})) {
    const [ofA, ofB] = [a.services[name], b.services[name]];
    const entry = (ofA?.ticket ?? 0) >= (ofB?.ticket ?? 0) ? ofA : ofB;
    if (entry === undefined) continue;
    const isSame =
      ofA?.ticket === ofB?.ticket && ofA?.revision === ofB?.revision;
    services[name] = isSame ? entry : {...entry, revision};
  }
  const known = new Set(a.recent.map(({number}) => number));
  const recent = [...b.recent.filter(r => !known.has(r.number)), ...a.recent];
  return {revision, services, recent: recent.slice(-MAX_RECENT_TICKETS)};
}

/** Asserts that the revision increases and that no service reverts to an earlier ticket. */
export function assertNoRevert(from: Configuration, to: Configuration): void {
  invariant(
    to.revision > from.revision,
    'configuration.revert',
    () => `revision ${from.revision} to ${to.revision}`,
  );
  for (const [name, entry] of Object.entries(from.services)) {
    const next = to.services[name];
    invariant(
      next !== undefined && next.ticket >= entry.ticket,
      'configuration.revert',
      () => `${name} from ticket ${entry.ticket} to ${next?.ticket ?? 'none'}`,
    );
  }
}

function refuse(
  kind: ErrorKind,
  service: string,
  inForce: number,
): AcceptTicketResult {
  return {type: 'refused', kind, service, inForce};
}
