/** Encodes what nodes tell each other of evacuations, as the optional last element of a datagram. */
import type {EvacuationNotice} from '@goldcresthill/membership';
import * as z from 'zod';

const nonNegative = z.number().nonnegative();
const names = z.array(z.string().min(1));

/** An element that is missing or cannot be read is left out, and costs the datagram nothing else. */
export const evacuationSchema = z
  .tuple([
    nonNegative,
    nonNegative,
    nonNegative,
    names.optional(),
    names.optional(),
    names.optional(),
  ])
  .transform(
    ([
      era,
      revision,
      ageMs,
      domains = [],
      lost = [],
      recovered = [],
    ]): EvacuationNotice => ({
      era,
      revision,
      ageMs,
      domains,
      lost,
      recovered,
    }),
  )
  .optional()
  .catch(undefined);

/** Returns the element, or nothing if there is no notice. Lists are left out as far as they are empty. */
export function evacuationsToTuple(
  notice: EvacuationNotice | undefined,
): unknown[] {
  if (notice === undefined) return [];
  const {era, revision, ageMs, domains, lost, recovered} = notice;
  const lists = [domains, lost, recovered];
  while (lists.at(-1)?.length === 0) lists.pop();
  return [[era, revision, Math.ceil(ageMs), ...lists]];
}
