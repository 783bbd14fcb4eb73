import {rmSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {SoakVm} from './soak_vm';
import {ProcessVms} from './testing/process_vms';

const WORK_MS = 1_500;
const SIGNAL_GAP_MS = 150;

let processes: ProcessVms;
let vm: SoakVm;

const call = () => processes.call(0, {path: '/order/', method: 'POST'});

/** Sends signals one after the other while a request is at work; returns its status. */
async function signalDuringRequest(
  signals: readonly NodeJS.Signals[],
): Promise<number> {
  const answer = call();
  await sleep(WORK_MS / 5);
  for (const signal of signals) {
    vm.node.signal(signal);
    await sleep(SIGNAL_GAP_MS);
  }
  return (await answer).status;
}

describe('the program of the platform', () => {
  beforeEach(async () => {
    processes = new ProcessVms();
    await processes.open(1);
    vm = processes.vm(0);
  });

  afterEach(() => processes.close());

  const startServing = async (): Promise<void> => {
    await processes.start([0]);
    processes.workMs = WORK_MS;
  };

  // Guards against requests that are cut because a further signal ends a process that is stopping.
  it.each<[NodeJS.Signals[]]>([
    [['SIGTERM', 'SIGTERM']],
    [['SIGTERM', 'SIGINT', 'SIGTERM']],
    [['SIGINT', 'SIGTERM']],
    [['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM']],
  ])('finishes a request at work after %j', async signals => {
    await startServing();
    expect(await signalDuringRequest(signals)).toBe(200);
    await processes.until(() => processes.exits.length > 0);
    expect(processes.exits).toMatchObject([
      {code: 0, signal: null, errors: ''},
    ]);
  });

  // Guards against a process that ends because its settings are read while they are replaced.
  it('keeps serving when the settings are incomplete or missing at a reload', async () => {
    await startServing();
    const text = vm.node.settingsText;
    vm.node.writeSettings(text.slice(0, text.length / 2));
    vm.node.signal('SIGHUP');
    await sleep(SIGNAL_GAP_MS);
    rmSync(vm.node.settingsFile);
    vm.node.signal('SIGHUP');
    await sleep(SIGNAL_GAP_MS);
    vm.node.writeSettings();
    vm.node.signal('SIGHUP');
    const {status} = await call();
    expect([status, processes.exits]).toEqual([200, []]);
  });

  it('starts when the settings are complete only after its start', async () => {
    vm.node.start();
    rmSync(vm.node.settingsFile);
    await sleep(SIGNAL_GAP_MS * 2);
    vm.node.writeSettings();
    await processes.until(() => vm.isReady());
    expect(processes.exits).toEqual([]);
  });

  // Guards against a process that ends with an error, or never, when it is stopped while it starts.
  it.each([60, 90, 120, 160, 250])(
    'stops when it gets SIGTERM %i ms after its start',
    async delayMs => {
      vm.node.start();
      await sleep(delayMs);
      vm.node.signal('SIGTERM');
      await processes.until(() => processes.exits.length > 0);
      // Until its own code runs, the default action ends the process.
      const [{code, signal, errors} = {}] = processes.exits;
      expect([signal === 'SIGTERM' ? 0 : code, errors]).toEqual([0, '']);
    },
  );

  // Until its own code runs, the default action of SIGHUP ends the process; that must run before the settings are read.
  it('goes on when it gets SIGHUP before it has read its settings', async () => {
    vm.node.start();
    rmSync(vm.node.settingsFile);
    await processes.until(() => vm.node.catches('SIGHUP'));
    for (let i = 0; i < 3; i++) {
      vm.node.signal('SIGHUP');
      await sleep(SIGNAL_GAP_MS);
    }
    vm.node.writeSettings();
    await processes.until(() => vm.isReady());
    expect(processes.exits).toEqual([]);
  });

  it('goes on when it gets SIGHUP again and again while it starts', async () => {
    vm.node.start();
    await processes.until(() => vm.node.catches('SIGHUP'));
    await processes.until(() => {
      vm.node.signal('SIGHUP');
      return vm.isReady();
    });
    expect(processes.exits).toEqual([]);
  });
});
