import {describe, expect, it} from 'vitest';
import {AnnouncementOrder} from './announcement_order';

const version = (instance: string, startedAt: number, sequence: number) => ({
  instance,
  startedAt,
  sequence,
});

describe('AnnouncementOrder', () => {
  it('rejects announcements of a process that are not newer than its newest', () => {
    const order = new AnnouncementOrder();
    expect(order.accept(version('a', 10, 3))).toBe(true);
    expect(order.accept(version('a', 10, 3))).toBe(false);
    expect(order.accept(version('a', 10, 2))).toBe(false);
    expect(order.accept(version('a', 10, 4))).toBe(true);
  });

  it('rejects a delayed announcement of a process that has made its last one', () => {
    const order = new AnnouncementOrder();
    order.accept(version('a', 10, Infinity));
    expect(order.accept(version('a', 10, 9))).toBe(false);
    expect(order.accept(version('a', 11, 1))).toBe(true);
  });

  it('rejects announcements of an earlier process, also under the same instance', () => {
    const order = new AnnouncementOrder();
    order.accept(version('b', 20, 1));
    expect(order.accept(version('a', 10, 50))).toBe(false);
    expect(order.accept(version('b', 10, 50))).toBe(false);
    expect(order.current).toEqual(version('b', 20, 1));
  });
});
