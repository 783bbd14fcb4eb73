import {describe, expect, it} from 'vitest';
import {WaitingLine} from './waiting_line';
import type {Waiting} from './waiting_line';

const waiting = (ref: number, more: Partial<Waiting> = {}): Waiting => ({
  ref,
  priority: 1,
  objective: 500,
  returning: false,
  ...more,
});

function lineOf(...items: Waiting[]): WaitingLine<Waiting> {
  const line = new WaitingLine<Waiting>();
  items.forEach(item => line.add(item));
  return line;
}

function orderOf(line: WaitingLine<Waiting>, endsAt: number): number[] {
  const order: number[] = [];
  for (;;) {
    const next = line.next(() => endsAt);
    if (next === undefined) return order;
    order.push(next.ref);
    line.remove(next.ref);
  }
}

describe('WaitingLine', () => {
  it('goes by priority, then by arrival', () => {
    const line = lineOf(
      waiting(1, {priority: 2}),
      waiting(2),
      waiting(3, {priority: 0}),
      waiting(4),
    );
    expect(orderOf(line, 100)).toEqual([3, 2, 4, 1]);
  });

  it('burst over capacity: what is late anyway lets go first what is not', () => {
    const line = lineOf(
      waiting(1, {priority: 0, objective: 90}),
      waiting(2, {priority: 2}),
      waiting(3, {priority: 1, objective: 90}),
    );
    expect(orderOf(line, 100)).toEqual([2, 1, 3]);
  });

  it('retry storm: callers that were refused before go ahead of new ones', () => {
    const line = lineOf(waiting(1), waiting(2, {returning: true}));
    expect(orderOf(line, 100)).toEqual([2, 1]);
  });

  it('makes room for the more urgent, never for the less', () => {
    const line = lineOf(
      waiting(1, {priority: 2}),
      waiting(2),
      waiting(3, {priority: 2}),
    );
    expect(line.leastUrgent(waiting(9, {priority: 0}))?.ref).toBe(3);
    expect(line.leastUrgent(waiting(9, {priority: 2}))).toBeUndefined();
    const back = waiting(9, {priority: 2, returning: true});
    expect(line.leastUrgent(back)?.ref).toBe(3);
  });

  it('counts what came later only where it is more urgent', () => {
    const line = lineOf(waiting(1), waiting(2), waiting(3, {priority: 0}));
    expect(line.countBefore(waiting(1), () => 100)).toBe(1);
    expect(line.countBefore(waiting(2), () => 100)).toBe(2);
  });

  it('passes over what may not start now', () => {
    const line = lineOf(waiting(1, {priority: 0}), waiting(2));
    const next = line.next(
      () => 100,
      item => item.priority > 0,
    );
    expect(next?.ref).toBe(2);
  });

  it('counts what goes before a new request', () => {
    const line = lineOf(
      waiting(1, {priority: 0}),
      waiting(2, {priority: 2}),
      waiting(3, {priority: 1, objective: 50}),
    );
    expect(line.countBefore(waiting(9), () => 100)).toBe(1);
    const late = waiting(9, {objective: 50});
    expect(line.countBefore(late, () => 100)).toBe(3);
  });
});
