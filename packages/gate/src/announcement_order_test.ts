import {describe, expect, it} from 'vitest';
import {AnnouncementOrder} from './announcement_order';

const version = (instance: string, startedAt: number, sequence: number) => ({
  instance,
  startedAt,
  sequence,
});

describe('AnnouncementOrder', () => {
  it('drops what a process said before its newest word', () => {
    const order = new AnnouncementOrder();
    expect(order.accept(version('a', 10, 3))).toBe(true);
    expect(order.accept(version('a', 10, 3))).toBe(false);
    expect(order.accept(version('a', 10, 2))).toBe(false);
    expect(order.accept(version('a', 10, 4))).toBe(true);
  });

  it('drops a late announcement of a process that has said its last word', () => {
    const order = new AnnouncementOrder();
    order.accept(version('a', 10, Infinity));
    expect(order.accept(version('a', 10, 9))).toBe(false);
    expect(order.accept(version('a', 11, 1))).toBe(true);
  });

  it('drops what an earlier process said, also under the same instance', () => {
    const order = new AnnouncementOrder();
    order.accept(version('b', 20, 1));
    expect(order.accept(version('a', 10, 50))).toBe(false);
    expect(order.accept(version('b', 10, 50))).toBe(false);
    expect(order.current).toEqual(version('b', 20, 1));
  });
});
