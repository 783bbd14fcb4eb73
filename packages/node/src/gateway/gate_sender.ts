/** Sends attempts and probes from one gateway to the gates of all nodes, including its own. */
import {runGuarded} from '@goldcresthill/errors';
import type {FaultListener} from '@goldcresthill/errors';
import {HEADERS} from '@goldcresthill/protocol';
import type {PickedServer, ServiceRouter} from '@goldcresthill/routing';
import type {Timers} from '@goldcresthill/timers';
import type {AttemptId, NodeAddress} from '@goldcresthill/types';
import type {GateTask} from '../gate/gate_task';
import type {AttemptResult} from '../gate/messages';
import type {HeaderMap} from '../http/header_filter';
import type {InputBudget} from '../http/input_budget';
import type {AttemptHandle} from './call_runner';
import {
  acknowledgeAttempt,
  resolveAttempt,
  probeLoad,
  sendAttempt,
} from './gate_client';
import type {OutgoingCall} from './gate_client';
import type {GateLinks} from './gate_links';

/** Options of GateSender. */
export interface GateSenderOptions {
  readonly address: NodeAddress;
  readonly gate: GateTask;
  readonly links: GateLinks;
  readonly timers: Timers;
  /** Accounts for answers. */
  readonly budget?: InputBudget;
  readonly onProbe: (service: string) => void;
  readonly onFault: FaultListener;
}

/** Sends to the gate of this VM by messages between tasks and to the other gates by HTTP. */
export class GateSender {
  private attemptSeq = 0;

  constructor(private readonly options: GateSenderOptions) {}

  /** Sends an attempt to the chosen server; undefined if its node is unknown. */
  send(
    call: OutgoingCall,
    pick: PickedServer,
    suspect: boolean,
    retriesLeft: number,
    done: (result: AttemptResult) => void,
  ): AttemptHandle | undefined {
    const {address} = this.options;
    const id = {
      gateway: address.nodeId,
      incarnation: address.bootId,
      seq: this.attemptSeq++,
    };
    return pick.nodeId === address.nodeId
      ? this.sendLocal(call, id, suspect, retriesLeft, done)
      : this.sendRemote(call, id, pick.nodeId, suspect, retriesLeft, done);
  }

  private sendLocal(
    call: OutgoingCall,
    id: AttemptId,
    suspect: boolean,
    retriesLeft: number,
    done: (result: AttemptResult) => void,
  ): AttemptHandle {
    const {gate, address} = this.options;
    let cancel = (): void => undefined;
    gate.post({
      type: 'attempt',
      req: {
        id,
        once: !call.attributes.repeatable,
        gateIncarnation: address.bootId,
        callId: call.attributes.callId,
        service: call.attributes.service,
        method: call.method,
        path: call.path,
        headers: localHeaders(call, retriesLeft),
        body: call.body,
        deadline: call.attributes.deadline,
        route: call.attributes.route,
        origin: call.attributes.origin,
        priority: call.attributes.priority,
        objective: call.attributes.objective,
        returning: call.attributes.returning,
        mustEnd: call.attributes.mustEnd === true,
        suspect,
        reply: done,
      },
      provideCancel: handle => (cancel = handle),
    });
    return {
      cancel: () => cancel(),
      resolve: () =>
        new Promise(reply =>
          gate.post({
            type: 'resolve',
            id,
            gateIncarnation: address.bootId,
            reply,
          }),
        ),
      abandonConnection: () => undefined,
      acknowledge: () => gate.post({type: 'acknowledge', id}),
    };
  }

  private sendRemote(
    call: OutgoingCall,
    id: AttemptId,
    nodeId: string,
    suspect: boolean,
    retriesLeft: number,
    done: (result: AttemptResult) => void,
  ): AttemptHandle | undefined {
    const link = this.options.links.get(nodeId);
    if (link === undefined) return undefined;
    const {host, dataPort, bootId} = link.address;
    const {budget} = this.options;
    const remainingMs = call.attributes.deadline - this.options.timers.now();
    const attempt = {
      id,
      gateIncarnation: bootId,
      suspect,
      retriesLeft,
      remainingMs,
      objectiveRemainingMs:
        call.attributes.objective - this.options.timers.now(),
    };
    const cancel = sendAttempt(link.pool, call, attempt, done, budget);
    return {
      cancel,
      resolve: () => resolveAttempt(host, dataPort, id, bootId),
      abandonConnection: () => this.options.links.closePool(nodeId),
      acknowledge: () => acknowledgeAttempt(link.pool, id),
    };
  }

  /** Probes the load of the servers that are due, within the probe budget. */
  sendProbes(service: string, router: ServiceRouter): void {
    for (const view of router.planProbes(this.options.timers.now())) {
      this.options.onProbe(service);
      if (view.nodeId === this.options.address.nodeId) {
        const report = this.options.gate.reportOf(service);
        if (report !== undefined)
          router.recordReport(this.options.timers.now(), view.id, report);
        continue;
      }
      const link = this.options.links.get(view.nodeId);
      if (link === undefined) continue;
      probeLoad(link.pool, service, report => {
        if (report === undefined) return;
        runGuarded(this.options.onFault, () =>
          router.recordReport(this.options.timers.now(), view.id, report),
        );
      });
    }
  }
}

function localHeaders(call: OutgoingCall, retriesLeft: number): HeaderMap {
  return {
    ...call.headers,
    [HEADERS.service]: call.attributes.service,
    [HEADERS.callId]: call.attributes.callId,
    [HEADERS.retriesLeft]: String(retriesLeft),
    [HEADERS.depth]: String(call.attributes.depth),
  };
}
