import {StoreBreaker} from '@goldcresthill/object-store';
import {
  MemoryPlatform,
  StaleStore,
  VirtualClock,
  VirtualTimers,
} from '@goldcresthill/test-utils';
import {
  CONFIGURATION_PATH,
  parseConfiguration,
  parseTicket,
} from '@goldcresthill/tickets';
import type {TicketAnswer} from '@goldcresthill/tickets';
import {beforeEach, describe, expect, it} from 'vitest';
import {ConfigTask} from './config_task';

/** Longest duration of a watch, with some more. */
const NOTICE_MS = 21_000;
const STEP_MS = 10;

let clock: VirtualClock;
let platform: MemoryPlatform;
let faults: unknown[];

beforeEach(() => {
  clock = new VirtualClock();
  platform = new MemoryPlatform();
  faults = [];
});

function startTask(): ConfigTask {
  const task = new ConfigTask({
    timers: new VirtualTimers(clock),
    store: new StaleStore({clock, platform, lagMs: 0, pageSize: 10}),
    breaker: new StoreBreaker({random: () => 0.5}),
    random: () => 0.5,
    onConfiguration: () => undefined,
    onFault: err => faults.push(err),
  });
  task.post({type: 'setWatcher', isWatcher: true});
  task.start();
  return task;
}

async function run(ms: number): Promise<void> {
  const end = clock.now + ms;
  while (clock.now < end) await clock.runUntilSettled(clock.now + STEP_MS);
}

async function submit(
  task: ConfigTask,
  number: number,
  service: string,
): Promise<TicketAnswer['type'] | undefined> {
  const ticket = parseTicket(
    `[ticket]\nnumber = ${number}\n[service ${service}]\ndeadline_ms = 500\n`,
  )._unsafeUnwrap();
  let type: TicketAnswer['type'] | undefined;
  task.post({
    type: 'submit',
    ticket,
    reply: answer => {
      type = answer.type;
    },
  });
  await run(100);
  return type;
}

/** Numbers of the tickets in force for each service, in the store or at a task. */
function ticketsOf(task?: ConfigTask): Record<string, number> {
  const text = platform.get(CONFIGURATION_PATH)?.value ?? '';
  const {services} = task?.current ?? parseConfiguration(text)._unsafeUnwrap();
  return Object.fromEntries(
    Object.entries(services).map(([name, entry]) => [name, entry.ticket]),
  );
}

describe('after the store was restored from an older copy', () => {
  // An accepted ticket was gone from the store, and with the nodes that held it.
  it('tickets that the store has lost are written again', async () => {
    const task = startTask();
    await submit(task, 1, 'orders');
    const copy = platform.copy();
    await submit(task, 2, 'stock');
    platform.restore(copy);
    await run(NOTICE_MS);
    expect(ticketsOf()).toEqual({orders: 1, stock: 2});
    expect(faults).toEqual([]);
  });

  // A ticket was accepted on top of the older configuration, with a revision that the nodes had already seen, and never in force.
  it('a ticket that follows at once is in force together with those that were lost', async () => {
    const task = startTask();
    await submit(task, 1, 'orders');
    const copy = platform.copy();
    await submit(task, 2, 'stock');
    platform.restore(copy);
    expect(await submit(task, 3, 'dispatch')).toBe('accepted');
    const all = {orders: 1, stock: 2, dispatch: 3};
    expect([ticketsOf(task), ticketsOf()]).toEqual([all, all]);
    expect(faults).toEqual([]);
  });

  // Two nodes that had accepted different tickets, before and after the restore, each kept only its own.
  it('nodes with different tickets agree on all of them', async () => {
    const first = startTask();
    await submit(first, 1, 'orders');
    const copy = platform.copy();
    await submit(first, 2, 'stock');
    platform.restore(copy);
    const second = startTask();
    await run(100);
    expect(await submit(second, 3, 'dispatch')).toBe('accepted');
    await run(NOTICE_MS);
    const all = {orders: 1, stock: 2, dispatch: 3};
    expect([ticketsOf(first), ticketsOf(second)]).toEqual([all, all]);
    expect(ticketsOf()).toEqual(all);
    expect(first.deltaFor(0)).toEqual(second.deltaFor(0));
    expect(faults).toEqual([]);
  });

  // A store that lost the configuration as a whole has no object to merge with.
  it('a configuration that the store has lost completely is written again', async () => {
    const copy = platform.copy();
    const task = startTask();
    await submit(task, 1, 'orders');
    platform.restore(copy);
    await run(NOTICE_MS);
    expect(ticketsOf()).toEqual({orders: 1});
    expect(faults).toEqual([]);
  });
});
