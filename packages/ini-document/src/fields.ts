/** Field schemas of INI documents. Each has a description of the allowed values, which error messages use. */
import * as z from 'zod';

const INTEGER = /^-?\d{1,15}$/;

/** An integer of at most 15 digits from `min` to `max`, inclusive. */
export function integer(min: number, max: number) {
  return z
    .string()
    .refine(text => INTEGER.test(text) && isWithin(Number(text), min, max))
    .transform(Number)
    .describe(`a whole number from ${min} to ${max}`);
}

/** A decimal number from `min` to `max`, inclusive. */
export function decimal(min: number, max: number) {
  return z
    .string()
    .refine(text => text.trim() !== '' && isWithin(Number(text), min, max))
    .transform(Number)
    .describe(`a number from ${min} to ${max}`);
}

/** One of the given words. */
export function oneOf<const T extends readonly [string, ...string[]]>(
  words: T,
) {
  return z.enum(words).describe(`one of ${words.join(', ')}`);
}

/** A string that matches the pattern. */
export function text(pattern: RegExp, description: string) {
  return z.string().regex(pattern).describe(description);
}

/** A comma-separated list of which each item matches the pattern. An empty value is an empty list. */
export function list(pattern: RegExp, description: string) {
  return z
    .string()
    .transform(splitList)
    .refine(items => items.every(item => pattern.test(item)))
    .describe(`a list parted by commas of ${description}`);
}

/** A comma-separated list of integers from `min` to `max`, inclusive. An empty value is an empty list. */
export function integerList(min: number, max: number) {
  return z
    .string()
    .transform(splitList)
    .refine(items =>
      items.every(
        item => INTEGER.test(item) && isWithin(Number(item), min, max),
      ),
    )
    .transform(items => items.map(Number))
    .describe(`a list parted by commas of whole numbers from ${min} to ${max}`);
}

/** A comma-separated list of the given words. An empty value is an empty list. */
export function words<const T extends string>(known: readonly T[]) {
  const isKnown = (item: string): item is T =>
    known.some(word => word === item);
  return z
    .string()
    .transform(splitList)
    .refine(items => items.every(isKnown))
    .transform(items => items.filter(isKnown))
    .describe(`a list parted by commas of ${known.join(', ')}`);
}

/** `true` or `false`. */
export function boolean() {
  return z
    .enum(['true', 'false'])
    .transform(word => word === 'true')
    .describe('true or false');
}

function splitList(value: string): string[] {
  return value
    .split(',')
    .map(item => item.trim())
    .filter(item => item !== '');
}

function isWithin(value: number, min: number, max: number): boolean {
  return value >= min && value <= max;
}
