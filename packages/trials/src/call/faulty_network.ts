/** Messages between processes, with the faults of a plan. */
import type {CallFault, CallStep} from './faults';
import type {WorldNode, WorldServer, WorldState} from './world_state';
import type {StoreWeather} from './world_store';

/** What a fault may do to processes. */
export interface ProcessFaults {
  readonly kill: (node: WorldNode) => void;
  readonly killServer: (node: WorldNode) => void;
  readonly drain: (node: WorldNode) => void;
}

const PAUSE_MS = 900;
const WEATHER_MS = 600;
const DUPLICATE_DELAY_FACTOR = 20;

/** Delivers messages late, twice, in part or not at all. */
export class FaultyNetwork {
  private weather: StoreWeather = 'up';
  private swapNext = false;

  constructor(
    private readonly state: WorldState,
    private readonly processes: ProcessFaults,
  ) {}

  /** Whether the next answer is another call's; asked once for each. */
  takeSwap(): boolean {
    const swap = this.swapNext;
    this.swapNext = false;
    return swap;
  }

  /** What a write to the store meets. */
  storeWeather(step: CallStep): StoreWeather {
    const fault = this.state.faults.at(step);
    if (fault === 'lose' || fault === 'silence') return 'down';
    if (fault === 'brokenLate' || fault === 'late') return 'late';
    if (fault === 'duplicate') return 'losesAnswers';
    const [node] = this.state.nodes;
    if (node !== undefined) this.strike(fault, node, undefined);
    return this.weather;
  }

  /** Carries out a fault that strikes a process; true if the message is gone with it. */
  strike(
    fault: CallFault | undefined,
    receiver: WorldNode,
    sender: WorldNode | undefined,
  ): boolean {
    switch (fault) {
      case 'killNode':
        this.processes.kill(receiver);
        return true;
      case 'killSender':
        if (sender !== undefined) this.processes.kill(sender);
        return false;
      case 'pauseNode':
        this.state.note(`${receiver.address.nodeId} pauses`);
        receiver.timers.pauseUntil(this.state.clock.now + PAUSE_MS);
        return false;
      case 'killServer':
        this.processes.killServer(receiver);
        return false;
      case 'drain':
        this.processes.drain(receiver);
        return false;
      case 'storeDown':
        this.setWeather('down');
        return false;
      case 'storeLosesAnswers':
        this.setWeather('losesAnswers');
        return false;
      case 'storeLate':
        this.setWeather('late');
        return false;
      default:
        return false;
    }
  }

  /**
   * Sends a message to a node. `deliver` runs there, perhaps more than once or
   * late; `onBreak` tells the sender that its connection broke.
   */
  send(
    step: CallStep,
    receiver: WorldNode,
    sender: WorldNode | undefined,
    deliver: (whole: boolean) => void,
    onBreak: () => void,
  ): void {
    const {clock} = this.state;
    const fault = this.faultAt(step);
    const arrive = (after: number, whole = true): void => {
      receiver.timers.after(after, () => deliver(whole));
    };
    const breakSoon = (): void => clock.after(this.state.delay(), onBreak);
    if (this.strike(fault, receiver, sender)) {
      breakSoon();
      return;
    }
    switch (fault) {
      case 'lose':
        breakSoon();
        return;
      case 'silence':
        return;
      case 'late':
        arrive(this.state.lateness());
        return;
      case 'brokenLate':
        breakSoon();
        arrive(this.state.lateness());
        return;
      case 'duplicate':
        arrive(this.state.delay());
        arrive(this.state.delay() * DUPLICATE_DELAY_FACTOR);
        return;
      case 'truncate':
        arrive(this.state.delay(), false);
        return;
      default:
        arrive(this.state.delay());
        if (fault === 'swap') this.swapNext = true;
    }
  }

  /** Loopback is one connection: nothing arrives there twice or after a break. */
  sendToServer(
    node: WorldNode,
    server: WorldServer,
    run: (whole: boolean) => void,
    broke: () => void,
  ): void {
    const fault = this.faultAt('serverRequest');
    if (fault === 'lose') {
      this.state.clock.after(this.state.delay(), broke);
      return;
    }
    if (fault === 'silence') return;
    if (this.strike(fault, node, undefined)) {
      server.timers.after(this.state.delay(), () => run(true));
      return;
    }
    const late = fault === 'late' ? this.state.lateness() : 0;
    server.timers.after(late, () => run(fault !== 'truncate'));
  }

  private faultAt(step: CallStep): CallFault | undefined {
    const fault = this.state.faults.at(step);
    if (fault !== undefined) this.state.note(`${fault} at ${step}`);
    return fault;
  }

  private setWeather(weather: StoreWeather): void {
    this.state.note(`store ${weather}`);
    this.weather = weather;
    this.state.clock.after(WEATHER_MS, () => (this.weather = 'up'));
  }
}
