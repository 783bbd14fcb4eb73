import {formatIssues} from '@goldcresthill/ini-document';
import {InvariantError} from '@goldcresthill/types';
import {describe, expect, it} from 'vitest';
import {
  acceptTicket,
  assertNoRevert,
  EMPTY_CONFIGURATION,
} from './configuration';
import type {Configuration} from './configuration';
import {ConfigurationHolder} from './configuration_holder';
import {parseTicket} from './ticket';
import type {Ticket} from './ticket';

function ticket(
  number: number,
  services: readonly string[],
  deadlineMs = 500,
): Ticket {
  const sections = services.map(
    s => `[service ${s}]\ndeadline_ms = ${deadlineMs}\n`,
  );
  return parseTicket(
    `[ticket]\nnumber = ${number}\n${sections.join('')}`,
  )._unsafeUnwrap();
}

function accept(current: Configuration, next: Ticket): Configuration {
  const result = acceptTicket(current, next);
  if (result.type !== 'accepted') throw new Error(result.type);
  return result.configuration;
}

describe('tickets', () => {
  it('report every fault with its section, key, value and the allowed values', () => {
    const faulty = `[ticket]
number = none
[service Orders]
[service orders]
dead_line_ms = 5
policy = fastest
deadline_ms = 9000
max_deadline_ms = 100
shed_statuses = 503, ok
deadline_ms = 1
`;
    expect(
      formatIssues(parseTicket(faulty)._unsafeUnwrapErr()),
    ).toMatchInlineSnapshot('"[service orders] deadline_ms: stands twice"');
    const once = faulty.replace('deadline_ms = 1\n', '');
    expect(formatIssues(parseTicket(once)._unsafeUnwrapErr()))
      .toMatchInlineSnapshot(`
      "[ticket] number = none: a whole number from 1 to 1000000000
      [service Orders]: a section [ticket] or [service NAME], the name in lower case
      [service orders] dead_line_ms = 5: no such key; did you mean deadline_ms?
      [service orders] policy = fastest: one of expectedTime, random, roundRobin, leastReported, powerOfTwo
      [service orders] shed_statuses = 503, ok: a list parted by commas of whole numbers from 400 to 599"
    `);
  });

  it('remove a service, and the entry keeps the ticket number', () => {
    const first = accept(EMPTY_CONFIGURATION, ticket(1, ['a', 'b']));
    const removal = parseTicket(
      '[ticket]\nnumber=2\n[service a]\nremove = true\n',
    );
    const second = accept(first, removal._unsafeUnwrap());
    expect(second.services['a']).toMatchObject({ticket: 2, rules: undefined});
  });

  it('are refused when stale, and recognised when submitted again', () => {
    const first = ticket(5, ['a']);
    const held = accept(EMPTY_CONFIGURATION, first);
    expect(acceptTicket(held, first)).toEqual({type: 'already'});
    expect(acceptTicket(held, ticket(4, ['a', 'b']))).toMatchObject({
      kind: 'staleTicket',
      inForce: 5,
    });
    expect(acceptTicket(held, ticket(5, ['b']))).toMatchObject({
      kind: 'ticketConflict',
    });
  });
});

describe('ConfigurationHolder', () => {
  const one = accept(EMPTY_CONFIGURATION, ticket(1, ['a', 'b']));
  const two = accept(one, ticket(2, ['a', 'b'], 700));
  const three = accept(two, ticket(3, ['b'], 900));

  it('adopts only higher revisions', () => {
    const holder = new ConfigurationHolder();
    expect([two, one, three, two].map(c => holder.adopt(c))).toEqual([
      'adopted',
      'old',
      'adopted',
      'old',
    ]);
  });

  it('reaches the same configuration by a delta as by a complete one', () => {
    const peer = new ConfigurationHolder();
    peer.adopt(three);
    const holder = new ConfigurationHolder();
    holder.adopt(one);
    expect(holder.adoptDelta(1, peer.deltaFor(1))).toBe('adopted');
    expect(holder.current).toEqual(three);
    const behind = new ConfigurationHolder();
    expect(behind.adoptDelta(1, peer.deltaFor(1))).toBe('gap');
  });

  it('throws when a service reverts to an earlier ticket', () => {
    const stale = {
      ...two,
      revision: 9,
      services: {...two.services, b: one.services['b']!},
    };
    expect(() => assertNoRevert(three, stale)).toThrow(InvariantError);
    const holder = new ConfigurationHolder();
    holder.adopt(three);
    expect(() => holder.adopt(stale)).toThrow(InvariantError);
  });
});
