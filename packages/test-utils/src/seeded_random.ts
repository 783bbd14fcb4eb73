/** Uniform numbers from a seed, by pure-rand. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 4_294_967_296;

/** A function like Math.random with a seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
