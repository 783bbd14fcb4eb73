/** Uniform numbers from a seed, by pure-rand. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const TWO_TO_32 = 4_294_967_296;

/** A function like Math.random with a seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / TWO_TO_32;
}
