/** Sends attempts and probes from one gateway to gates, its own among them. */
import {HEADERS} from '@goldcresthill/protocol';
import type {PickedServer, ServiceRouter} from '@goldcresthill/routing';
import type {Timers} from '@goldcresthill/timers';
import type {AttemptId, NodeAddress} from '@goldcresthill/types';
import type {GateTask} from '../gate/gate_task';
import type {AttemptResult} from '../gate/messages';
import type {HeaderMap} from '../http/header_filter';
import type {AttemptHandle} from './call_runner';
import {acknowledge, askResolution, probe, sendAttempt} from './gate_client';
import type {OutgoingCall} from './gate_client';
import type {GateLinks} from './gate_links';

/** What a sender starts from. */
export interface GateSenderOptions {
  readonly address: NodeAddress;
  readonly gate: GateTask;
  readonly links: GateLinks;
  readonly timers: Timers;
  readonly onProbe: (service: string) => void;
}

/** The gate of this VM is reached without the network. */
export class GateSender {
  private attemptSeq = 0;

  constructor(private readonly options: GateSenderOptions) {}

  /** Sends an attempt to a chosen server; undefined if its node is not known. */
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
        once: !call.info.repeatable,
        gateIncarnation: address.bootId,
        callId: call.info.callId,
        service: call.info.service,
        method: call.method,
        path: call.path,
        headers: localHeaders(call, retriesLeft),
        body: call.body,
        deadline: call.info.deadline,
        route: call.info.route,
        origin: call.info.origin,
        priority: call.info.priority,
        objective: call.info.objective,
        returning: call.info.returning,
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
      giveUpConnection: () => undefined,
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
    const leftMs = call.info.deadline - this.options.timers.now();
    const attempt = {
      id,
      gateIncarnation: bootId,
      suspect,
      retriesLeft,
      leftMs,
      objectiveMs: call.info.objective - this.options.timers.now(),
    };
    const cancel = sendAttempt(link.pool, call, attempt, done);
    return {
      cancel,
      resolve: () => askResolution(host, dataPort, id, bootId),
      giveUpConnection: () => this.options.links.renew(nodeId),
      acknowledge: () => acknowledge(link.pool, id),
    };
  }

  /** Asks for the load of servers whose turn it is, within the budget. */
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
      probe(link.pool, service, report => {
        if (report !== undefined)
          router.recordReport(this.options.timers.now(), view.id, report);
      });
    }
  }
}

function localHeaders(call: OutgoingCall, retriesLeft: number): HeaderMap {
  return {
    ...call.headers,
    [HEADERS.service]: call.info.service,
    [HEADERS.callId]: call.info.callId,
    [HEADERS.retriesLeft]: String(retriesLeft),
    [HEADERS.depth]: String(call.info.depth),
  };
}
