/** Field kinds of INI documents. Each carries a description of what it allows. */
import * as z from 'zod';

const INTEGER = /^-?\d{1,15}$/;

/** A whole number within bounds, both included. */
export function integer(min: number, max: number) {
  return z
    .string()
    .refine(text => INTEGER.test(text) && isWithin(Number(text), min, max))
    .transform(Number)
    .describe(`a whole number from ${min} to ${max}`);
}

/** A number with decimals within bounds, both included. */
export function decimal(min: number, max: number) {
  return z
    .string()
    .refine(text => text.trim() !== '' && isWithin(Number(text), min, max))
    .transform(Number)
    .describe(`a number from ${min} to ${max}`);
}

/** One of a few words. */
export function oneOf<const T extends readonly [string, ...string[]]>(
  words: T,
) {
  return z.enum(words).describe(`one of ${words.join(', ')}`);
}

/** A text that matches a pattern. */
export function text(pattern: RegExp, description: string) {
  return z.string().regex(pattern).describe(description);
}

/** Items parted by commas; an empty value is an empty list. */
export function list(pattern: RegExp, description: string) {
  return z
    .string()
    .transform(splitList)
    .refine(items => items.every(item => pattern.test(item)))
    .describe(`a list parted by commas of ${description}`);
}

/** Whole numbers parted by commas. */
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
