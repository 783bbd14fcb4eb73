import {describe, expect, it} from 'vitest';
import {NestedCallDetector} from './nested_call_detector';

function observe(
  origins: NestedCallDetector,
  route: string,
  from: readonly string[],
  times: number,
): boolean {
  let nested = false;
  for (let i = 0; i < times; i++) {
    nested = origins.observe(route, from[i % from.length] ?? '');
  }
  return nested;
}

describe('NestedCallDetector', () => {
  it('classifies a route that only one service uses as calls made by its servers', () => {
    const origins = new NestedCallDetector();
    expect(observe(origins, 'orders', ['a', 'a', 'a', 'b'], 100)).toBe(false);
    expect(observe(origins, 'credentials', ['a'], 39)).toBe(false);
    expect(observe(origins, 'credentials', ['a'], 1)).toBe(true);
    expect(observe(origins, 'credentials', ['b'], 1)).toBe(false);
  });

  it('predicts its classification without recording a request', () => {
    const origins = new NestedCallDetector();
    observe(origins, 'orders', ['a', 'b'], 100);
    observe(origins, 'credentials', ['a'], 100);
    expect(origins.isNested('credentials', 'a')).toBe(true);
    expect(origins.isNested('credentials', 'b')).toBe(false);
    expect(origins.isNested('orders', 'a')).toBe(false);
    expect(origins.isNested('unknown', 'a')).toBe(false);
    expect(observe(origins, 'credentials', ['a'], 1)).toBe(true);
  });

  it('classifies nothing where all VMs run the same service', () => {
    const origins = new NestedCallDetector();
    expect(observe(origins, 'orders', ['a'], 1_000)).toBe(false);
  });

  it('classifies no request without a route or an origin', () => {
    const origins = new NestedCallDetector();
    observe(origins, 'orders', ['a', 'b'], 100);
    expect(observe(origins, '', ['a'], 100)).toBe(false);
    expect(observe(origins, 'other', [''], 100)).toBe(false);
  });

  it('follows a change of the services that use a route', () => {
    const origins = new NestedCallDetector();
    observe(origins, 'route', ['a', 'b'], 100);
    expect(observe(origins, 'route', ['a'], 3_000)).toBe(true);
  });
});
