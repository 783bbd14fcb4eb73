import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Gate} from './gate';

const RULES = {...DEFAULT_SERVICE_RULES, warmUpMs: 0, queuePerSlot: 2};
const SLOTS = 20;
/** Requests that a server may get in any window after it has advertised a rate: one and a half times the rate, and 5 more. */
const WINDOW_MS = 4_000;
const maxArrivals = (rate: number) => 1.5 * rate * (WINDOW_MS / 1_000) + 5;
const QUEUE_CHECK_MS = 100;

/** A server that serves in `serviceMs`, behind its gate; records when requests and load checks reach it. */
class LimitedServer {
  readonly gate = new Gate(0, {slots: SLOTS, rules: RULES});
  readonly arrivals: number[] = [];
  /** Load checks among the arrivals. */
  checks = 0;
  readonly refused: number[] = [];
  private readonly running: Array<{ref: number; endsAt: number}> = [];
  private ref = 0;

  constructor(private readonly serviceMs: number) {}

  /** Advances to a time, checks the load if allowed and sends a number of requests. */
  step(now: number, requests: number): void {
    while ((this.running[0]?.endsAt ?? Infinity) <= now) {
      const {ref = 0} = this.running.shift() ?? {};
      this.execute(now, this.gate.finish(now, ref, 'ok'));
    }
    this.execute(now, this.gate.advance(now));
    if (this.gate.takeLoadCheck(now)) {
      this.checks++;
      this.arrivals.push(now);
    }
    for (let i = 0; i < requests; i++) this.send(now);
  }

  limitRate(now: number, rate: number | undefined): void {
    this.execute(now, this.gate.limitRate(now, rate));
  }

  /** Most arrivals in any window that begins at or after a time and ends before another. */
  mostInWindow(from: number, to = Infinity): number {
    const counted = this.arrivals.filter(at => at >= from && at < to);
    return Math.max(
      0,
      ...counted.map(
        start =>
          counted.filter(at => at >= start && at < start + WINDOW_MS).length,
      ),
    );
  }

  private send(now: number): void {
    const ref = this.ref++;
    const admission = this.gate.admit(now, {
      ref,
      deadline: now + 2_000,
      objective: now + 1_000,
      suspect: false,
      route: '',
      priority: 0,
      returning: false,
    });
    if (admission.type === 'start') this.start(now, ref);
    if (admission.type === 'refuse') this.refused.push(now);
  }

  private execute(
    now: number,
    commands: ReadonlyArray<{readonly type: string; readonly ref?: number}>,
  ): void {
    for (const {type, ref = 0} of commands) {
      if (type === 'start') this.start(now, ref);
      if (type === 'refuse') this.refused.push(now);
    }
  }

  private start(now: number, ref: number): void {
    this.arrivals.push(now);
    this.running.push({ref, endsAt: now + this.serviceMs});
  }
}

describe('a server that advertises a rate limit', () => {
  // Slots hold back work by its length, so short requests passed far above the rate that the server advertised.
  it('gets no more than the limit allows in any window, however short its work', () => {
    const server = new LimitedServer(20);
    for (let now = 0; now < 30_000; now += QUEUE_CHECK_MS) {
      if (now === 2_000) server.limitRate(now, 8.2);
      server.step(now, 5);
    }
    const most = server.mostInWindow(2_000 + WINDOW_MS);
    expect(most).toBeLessThanOrEqual(maxArrivals(8.2));
    // The server still gets nearly all that it takes.
    expect(most).toBeGreaterThanOrEqual(8.2 * 4 - 1);
  });

  // A change of the limit must not bring new tokens with it, nor the end of one a debt.
  it('gets no more than the highest limit of a window allows while limits change', () => {
    const change = fc.record({
      rate: fc.double({min: 0, max: 60, noNaN: true}),
      steps: fc.integer({min: 1, max: 60}),
      requests: fc.nat({max: 30}),
    });
    fc.assert(
      fc.property(
        fc.array(change, {minLength: 1, maxLength: 8}),
        fc.integer({min: 1, max: 500}),
        (changes, serviceMs) => {
          const server = new LimitedServer(serviceMs);
          const highest = Math.max(...changes.map(({rate}) => rate));
          let now = 0;
          for (const {rate, steps, requests} of changes) {
            server.limitRate(now, rate);
            for (let i = 0; i < steps; i++) {
              server.step(now, requests);
              now += QUEUE_CHECK_MS;
            }
          }
          expect(server.mostInWindow(0)).toBeLessThanOrEqual(
            maxArrivals(highest),
          );
        },
      ),
    );
  });

  // A queue in front of a limited server would hold requests until they are late.
  it('has requests refused at once that it cannot serve within their objective', () => {
    const server = new LimitedServer(20);
    server.limitRate(0, 4);
    server.step(0, 30);
    expect(server.refused.length).toBeGreaterThanOrEqual(30 - 2 - 4);
    const accepted = server.gate.accepts(0, {
      deadline: 2_000,
      objective: 1_000,
      suspect: false,
      route: '',
      priority: 0,
      returning: false,
    });
    expect(accepted).toBe(false);
  });

  // A limit of 0 would never be seen to end, as only answers end it.
  it('is asked again now and then if its limit is 0, and served in full once the limit ends', () => {
    const server = new LimitedServer(20);
    server.limitRate(0, 0);
    for (let now = 0; now < 20_000; now += QUEUE_CHECK_MS) server.step(now, 1);
    const {length} = server.arrivals;
    expect(length).toBeGreaterThan(2);
    expect(server.mostInWindow(0)).toBeLessThanOrEqual(maxArrivals(0));
    server.limitRate(20_000, undefined);
    server.step(20_000, 10);
    expect(server.arrivals.length).toBeGreaterThanOrEqual(length + 10);
  });

  // Checked once a second only, a limited server got no requests for up to a second after a slow period.
  it('gets load checks as its limit allows, which leave room for requests', () => {
    const server = new LimitedServer(20);
    server.limitRate(0, 8);
    for (let now = 0; now < 20_000; now += QUEUE_CHECK_MS) server.step(now, 0);
    expect(server.checks).toBeGreaterThanOrEqual(3 * 20);
    expect(server.mostInWindow(0)).toBeLessThanOrEqual(maxArrivals(8));
    server.step(20_000, 2);
    expect(server.gate.inFlight).toBe(2);
  });

  // Gateways took a limited server for full though its limit let requests start, and callers were refused.
  it('reports a free slot exactly while a request may start', () => {
    const step = fc.record({
      waitMs: fc.integer({min: 0, max: 700}),
      requests: fc.nat({max: 6}),
    });
    fc.assert(
      fc.property(
        fc.double({min: 0, max: 60, noNaN: true}),
        fc.integer({min: 1, max: 900}),
        fc.array(step, {maxLength: 20}),
        (rate, serviceMs, steps) => {
          const server = new LimitedServer(serviceMs);
          server.limitRate(0, rate);
          let now = 0;
          for (const {waitMs, requests} of steps) {
            now += waitMs;
            server.step(now, requests);
            const {limit, inFlight} = server.gate.report(now);
            expect(limit).toBeLessThanOrEqual(SLOTS);
            server.step(now, 1);
            expect(limit > inFlight).toBe(server.gate.inFlight > inFlight);
          }
        },
      ),
    );
  });
});
