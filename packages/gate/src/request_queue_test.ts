import {describe, expect, it} from 'vitest';
import {RequestQueue} from './request_queue';
import type {QueueEntry} from './request_queue';

const waiting = (ref: number, more: Partial<QueueEntry> = {}): QueueEntry => ({
  ref,
  priority: 1,
  objective: 500,
  returning: false,
  ...more,
});

function queueOf(...entries: QueueEntry[]): RequestQueue<QueueEntry> {
  const queue = new RequestQueue<QueueEntry>();
  entries.forEach(entry => queue.add(entry));
  return queue;
}

function orderOf(queue: RequestQueue<QueueEntry>, endsAt: number): number[] {
  const order: number[] = [];
  for (;;) {
    const next = queue.next(() => endsAt);
    if (next === undefined) return order;
    order.push(next.ref);
    queue.remove(next.ref);
  }
}

describe('RequestQueue', () => {
  it('orders by priority, then by arrival', () => {
    const queue = queueOf(
      waiting(1, {priority: 2}),
      waiting(2),
      waiting(3, {priority: 0}),
      waiting(4),
    );
    expect(orderOf(queue, 100)).toEqual([3, 2, 4, 1]);
  });

  it('burst over capacity: requests that miss their objective anyway go last', () => {
    const queue = queueOf(
      waiting(1, {priority: 0, objective: 90}),
      waiting(2, {priority: 2}),
      waiting(3, {priority: 1, objective: 90}),
    );
    expect(orderOf(queue, 100)).toEqual([2, 1, 3]);
  });

  it('retry storm: callers that were refused before go ahead of new ones', () => {
    const queue = queueOf(waiting(1), waiting(2, {returning: true}));
    expect(orderOf(queue, 100)).toEqual([2, 1]);
  });

  it('makes room for the more urgent, never for the less', () => {
    const queue = queueOf(
      waiting(1, {priority: 2}),
      waiting(2),
      waiting(3, {priority: 2}),
    );
    expect(queue.evictionCandidate(waiting(9, {priority: 0}))?.ref).toBe(3);
    expect(queue.evictionCandidate(waiting(9, {priority: 2}))).toBeUndefined();
    const back = waiting(9, {priority: 2, returning: true});
    expect(queue.evictionCandidate(back)?.ref).toBe(3);
  });

  it('counts later arrivals only if they are more urgent', () => {
    const queue = queueOf(waiting(1), waiting(2), waiting(3, {priority: 0}));
    expect(queue.countAhead(waiting(1), () => 100)).toBe(1);
    expect(queue.countAhead(waiting(2), () => 100)).toBe(2);
  });

  it('skips requests that may not start now', () => {
    const queue = queueOf(waiting(1, {priority: 0}), waiting(2));
    const next = queue.next(
      () => 100,
      item => item.priority > 0,
    );
    expect(next?.ref).toBe(2);
  });

  it('counts what goes before a new request', () => {
    const queue = queueOf(
      waiting(1, {priority: 0}),
      waiting(2, {priority: 2}),
      waiting(3, {priority: 1, objective: 50}),
    );
    expect(queue.countAhead(waiting(9), () => 100)).toBe(1);
    const late = waiting(9, {objective: 50});
    expect(queue.countAhead(late, () => 100)).toBe(3);
  });
});
