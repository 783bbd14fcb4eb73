/** The object `allocators/main` of the store: the nodes that grant tokens. */
import {ownerOf} from '@goldcresthill/membership';
import * as z from 'zod';

/** The allocators of one epoch. */
export interface AllocatorList {
  /** Higher in each later list, and not given out again after a restore of the store. */
  readonly epoch: number;
  /** Epoch of the list that this one replaced; 0 for the first. */
  readonly previous: number;
  /** Era of the store that the list was written in. */
  readonly era: number;
  /** Node ids. */
  readonly nodes: readonly string[];
}

const listSchema = z.object({
  epoch: z.number().int().positive(),
  previous: z.number().int().nonnegative(),
  era: z.number().int().nonnegative(),
  nodes: z.array(z.string().min(1)),
});

/** Encodes a list for the store. */
export function encodeAllocatorList(list: AllocatorList): string {
  return JSON.stringify(list);
}

/** Decodes an object of the store; undefined if it is not a valid list. */
export function decodeAllocatorList(text: string): AllocatorList | undefined {
  try {
    return listSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** The node that grants tokens for an account; undefined if the list is empty. */
export function allocatorOf(
  account: string,
  list: AllocatorList,
): string | undefined {
  return ownerOf(
    `quota|${account}`,
    list.nodes.map(nodeId => ({nodeId})),
  );
}
