/** Draws the service of a call by the weights of its route. */
import {invariant} from '@goldcresthill/types';
import type {WeightedService} from './route';

/** A service drawn by weight. `random` gives uniform numbers in [0, 1). */
export function drawService(
  services: readonly WeightedService[],
  random: () => number,
): string {
  const [first] = services;
  invariant(first !== undefined, 'routes.services', () => 'no service');
  if (services.length === 1) return first.service;
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random() * total;
  for (const {service, weight} of services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return first.service;
}
