/** A seeded generator of uniform random numbers. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 4_294_967_296;

/** Returns a function like Math.random that gives the same sequence for the same seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
