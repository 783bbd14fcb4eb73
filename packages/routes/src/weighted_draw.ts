/** Weighted random choice of a call's service. */
import {invariant} from '@goldcresthill/types';
import type {WeightedService} from './route';

/** Draws a service at random by weight. `random` returns uniform numbers in [0, 1). */
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
