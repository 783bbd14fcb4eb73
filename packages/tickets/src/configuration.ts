/** The configuration: for each service its rules and the ticket that set them. */
import type {ErrorKind} from '@goldcresthill/errors';
import {invariant} from '@goldcresthill/types';
import type {ServiceRules} from '@goldcresthill/types';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import type {Ticket} from './ticket';

/** State of one service. */
export interface ServiceEntry {
  readonly ticket: number;
  /** Revision of the configuration that brought this state. */
  readonly revision: number;
  /** Missing for a service that a ticket removed. */
  readonly rules?: ServiceRules | undefined;
}

/** A whole configuration, kept as one object in the platform's service. */
export interface Configuration {
  /** Rises by one with each ticket accepted. */
  readonly revision: number;
  readonly services: Readonly<Record<string, ServiceEntry>>;
  /** The newest tickets, to know one that is sent again. */
  readonly recent: ReadonlyArray<{
    readonly number: number;
    readonly digest: string;
  }>;
}

/** What accepting a ticket comes to. */
export type AcceptTicketResult =
  | {readonly type: 'accepted'; readonly configuration: Configuration}
  | {readonly type: 'already'}
  | {
      readonly type: 'refused';
      readonly kind: ErrorKind;
      readonly service: string;
      /** Ticket in force for that service. */
      readonly inForce: number;
    };

/** Path of the configuration in the platform's service. */
export const CONFIGURATION_PATH = 'configuration';

/** Before the first ticket. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  services: {},
  recent: [],
};

const MAX_RECENT_TICKETS = 200;

/** Shape of a configuration received from the store or from another node. */
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

/** Reads a configuration from text. */
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

/** Applies a ticket to a configuration, whole or not at all. */
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

/** Entries set after a revision, with all of which that revision becomes this one. */
export function deltaSince(
  configuration: Configuration,
  revision: number,
): Configuration {
  const entries = Object.entries(configuration.services).filter(
    ([, entry]) => entry.revision > revision,
  );
  return {...configuration, services: Object.fromEntries(entries)};
}

/** Asserts that no service goes back to an earlier ticket. */
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
