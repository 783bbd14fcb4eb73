/** Delivers messages between simulated processes and applies the faults of a plan. */
import type {CallFault, CallStep} from './faults';
import type {
  SimulatedNode,
  SimulatedServer,
  SimulationState,
} from './simulation_state';
import type {StoreMode} from './simulated_store';

/** Actions on processes that faults trigger. */
export interface ProcessFaultActions {
  readonly killNode: (node: SimulatedNode) => void;
  readonly killServer: (node: SimulatedNode) => void;
  readonly drainServer: (node: SimulatedNode) => void;
}

const NODE_PAUSE_MS = 900;
const STORE_FAULT_DURATION_MS = 600;
const DUPLICATE_DELAY_FACTOR = 20;

/** Network that delivers each message once, late, twice, in part or not at all, as the fault plan says. */
export class FaultyNetwork {
  private storeMode: StoreMode = 'up';
  private swapNext = false;

  constructor(
    private readonly state: SimulationState,
    private readonly actions: ProcessFaultActions,
  ) {}

  /**
   * Returns whether the next answer must be replaced by another call's, and
   * clears the flag; call once per answer.
   */
  consumeSwap(): boolean {
    const shouldSwap = this.swapNext;
    this.swapNext = false;
    return shouldSwap;
  }

  /** Returns how the store handles an operation, after applying the fault that is planned for the step. */
  storeModeAt(step: CallStep): StoreMode {
    const fault = this.state.faults.faultAt(step);
    if (fault === 'lose' || fault === 'silence') return 'down';
    if (fault === 'brokenLate' || fault === 'late') return 'late';
    if (fault === 'duplicate') return 'losesAnswers';
    const [node] = this.state.nodes;
    if (node !== undefined) this.applyFault(fault, node, undefined);
    return this.storeMode;
  }

  /** Applies a fault of a process or of the store; returns true if the message is lost with it. */
  applyFault(
    fault: CallFault | undefined,
    receiver: SimulatedNode,
    sender: SimulatedNode | undefined,
  ): boolean {
    switch (fault) {
      case 'killNode':
        this.actions.killNode(receiver);
        return true;
      case 'killSender':
        if (sender !== undefined) this.actions.killNode(sender);
        return false;
      case 'pauseNode':
        this.state.addTrace(`${receiver.address.nodeId} pauses`);
        receiver.timers.pauseUntil(this.state.clock.now + NODE_PAUSE_MS);
        return false;
      case 'killServer':
        this.actions.killServer(receiver);
        return false;
      case 'drain':
        this.actions.drainServer(receiver);
        return false;
      case 'storeDown':
        this.setStoreMode('down');
        return false;
      case 'storeLosesAnswers':
        this.setStoreMode('losesAnswers');
        return false;
      case 'storeLate':
        this.setStoreMode('late');
        return false;
      default:
        return false;
    }
  }

  /**
   * Sends a message to a node. `deliver` runs there, possibly late or more than
   * once, with whether the message is complete; `onBreak` runs if the sender's
   * connection breaks.
   */
  send(
    step: CallStep,
    receiver: SimulatedNode,
    sender: SimulatedNode | undefined,
    deliver: (whole: boolean) => void,
    onBreak: () => void,
  ): void {
    const {clock} = this.state;
    const fault = this.nextFault(step);
    const deliverAfter = (delayMs: number, whole = true): void => {
      receiver.timers.after(delayMs, () => deliver(whole));
    };
    const breakSoon = (): void => clock.after(this.state.delayMs(), onBreak);
    if (this.applyFault(fault, receiver, sender)) {
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
        deliverAfter(this.state.lateDelayMs());
        return;
      case 'brokenLate':
        breakSoon();
        deliverAfter(this.state.lateDelayMs());
        return;
      case 'duplicate':
        deliverAfter(this.state.delayMs());
        deliverAfter(this.state.delayMs() * DUPLICATE_DELAY_FACTOR);
        return;
      case 'truncate':
        deliverAfter(this.state.delayMs(), false);
        return;
      default:
        deliverAfter(this.state.delayMs());
        if (fault === 'swap') this.swapNext = true;
    }
  }

  /** Sends a request over loopback. It is one connection, so nothing arrives twice or after a break. */
  sendToServer(
    node: SimulatedNode,
    server: SimulatedServer,
    run: (whole: boolean) => void,
    onBreak: () => void,
  ): void {
    const fault = this.nextFault('serverRequest');
    if (fault === 'lose') {
      this.state.clock.after(this.state.delayMs(), onBreak);
      return;
    }
    if (fault === 'silence') return;
    if (this.applyFault(fault, node, undefined)) {
      server.timers.after(this.state.delayMs(), () => run(true));
      return;
    }
    const extraDelayMs = fault === 'late' ? this.state.lateDelayMs() : 0;
    server.timers.after(extraDelayMs, () => run(fault !== 'truncate'));
  }

  private nextFault(step: CallStep): CallFault | undefined {
    const fault = this.state.faults.faultAt(step);
    if (fault !== undefined) this.state.addTrace(`${fault} at ${step}`);
    return fault;
  }

  private setStoreMode(mode: StoreMode): void {
    this.state.addTrace(`store ${mode}`);
    this.storeMode = mode;
    this.state.clock.after(
      STORE_FAULT_DURATION_MS,
      () => (this.storeMode = 'up'),
    );
  }
}
