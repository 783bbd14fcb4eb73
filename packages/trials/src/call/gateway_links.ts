/** Simulates the messages between a gateway and gates or other gateways. */
import type {ClaimRecord} from '@goldcresthill/attempts';
import type {
  AttemptHandle,
  AttemptRequest,
  AttemptResult,
  OutgoingCall,
  OwnerReply,
  RemoteResolution,
} from '@goldcresthill/node';
import type {PickedServer} from '@goldcresthill/routing';
import type {AttemptId} from '@goldcresthill/types';
import type {FaultyNetwork} from './faulty_network';
import {SERVICE} from './simulation_state';
import type {SimulatedNode, SimulationState} from './simulation_state';

/** Mechanisms between gateway and gate that a test can disable. */
export interface LinkMechanisms {
  readonly fencing: boolean;
  readonly answerChecks: boolean;
}

interface Exchange {
  completed: boolean;
  cancel: () => void;
  readonly complete: (result: AttemptResult) => void;
  readonly breakConnection: () => void;
}

const NO_GATE_REPORT = {report: undefined, gateUs: 0};
const REQUEST_TIMEOUT_MS = 500;

/** Links from all gateways of a trial to gates and other gateways. */
export class GatewayLinks {
  private attemptSeq = 0;
  private lastAnswer: AttemptResult | undefined;

  constructor(
    private readonly state: SimulationState,
    private readonly network: FaultyNetwork,
    private readonly mechanisms: LinkMechanisms,
  ) {}

  /** Sends an attempt to the gate of a chosen server; returns undefined if its node does not exist. */
  sendAttempt(
    from: SimulatedNode,
    call: OutgoingCall,
    pick: PickedServer,
    suspect: boolean,
    done: (result: AttemptResult) => void,
  ): AttemptHandle | undefined {
    const gateNode = this.state.node(pick.nodeId);
    if (gateNode === undefined) return undefined;
    const {nodeId: gateway, bootId: incarnation} = from.address;
    const id = {gateway, incarnation, seq: this.attemptSeq++};
    const gateIncarnation = gateNode.address.bootId;
    const exchange = this.openExchange(from, done);
    if (gateNode.timers.isDead) {
      const refused = {
        type: 'refused',
        kind: 'serverUnreachable',
        ...NO_GATE_REPORT,
      } as const;
      from.timers.after(this.state.delayMs(), () => exchange.complete(refused));
    } else {
      const req = this.buildAttemptRequest(
        call,
        id,
        gateIncarnation,
        suspect,
        result => this.sendAnswer(gateNode, from, result, exchange),
      );
      const deliver = (): void =>
        gateNode.gate.post({
          type: 'attempt',
          req,
          provideCancel: cancel => (exchange.cancel = cancel),
        });
      // A truncated request fails to parse, so the gate never receives it.
      const receive = (whole: boolean): void =>
        whole ? deliver() : exchange.breakConnection();
      this.network.send(
        'attemptRequest',
        gateNode,
        from,
        receive,
        exchange.breakConnection,
      );
    }
    return this.createHandle(from, pick.nodeId, id, gateIncarnation, exchange);
  }

  /** Asks the gateway that owns a claim for the state of its key. */
  askOwner(from: SimulatedNode, record: ClaimRecord): Promise<OwnerReply> {
    const to = this.state.node(record.gateway);
    const failure: OwnerReply = {answer: 'unreachable', kept: undefined};
    return this.requestReply(from, to, failure, 'askOwner', (owner, reply) => {
      const isSameProcess = owner.address.bootId === record.incarnation;
      const unknown: OwnerReply = {answer: 'unknown', kept: undefined};
      reply(isSameProcess ? owner.handler.lookUpClaim(record.token) : unknown);
    });
  }

  private openExchange(
    from: SimulatedNode,
    done: (result: AttemptResult) => void,
  ): Exchange {
    const exchange: Exchange = {
      completed: false,
      cancel: () => undefined,
      complete: result => {
        if (exchange.completed) return;
        exchange.completed = true;
        done(result);
      },
      breakConnection: () => {
        const result = {
          type: 'broke',
          kind: 'connectionLost',
          ...NO_GATE_REPORT,
        } as const;
        from.timers.after(0, () => exchange.complete(result));
      },
    };
    return exchange;
  }

  private buildAttemptRequest(
    call: OutgoingCall,
    id: AttemptId,
    gateIncarnation: number,
    suspect: boolean,
    reply: (result: AttemptResult) => void,
  ): AttemptRequest {
    const {attributes, method, path, headers, body} = call;
    return {
      id,
      once: !attributes.repeatable,
      gateIncarnation,
      callId: attributes.callId,
      service: SERVICE,
      method,
      path,
      headers,
      body,
      deadline: attributes.deadline,
      route: attributes.route,
      origin: attributes.origin,
      priority: attributes.priority,
      objective: attributes.objective,
      returning: attributes.returning,
      mustEnd: attributes.mustEnd === true,
      suspect,
      reply,
    };
  }

  private sendAnswer(
    gate: SimulatedNode,
    gateway: SimulatedNode,
    result: AttemptResult,
    exchange: Exchange,
  ): void {
    const receive = (whole: boolean): void => {
      const swapped = this.network.consumeSwap() ? this.lastAnswer : undefined;
      this.lastAnswer = result;
      if (this.mechanisms.answerChecks && (!whole || swapped !== undefined)) {
        exchange.complete({
          type: 'broke',
          kind: 'brokenAnswer',
          ...NO_GATE_REPORT,
        });
        return;
      }
      const received = swapped ?? result;
      exchange.complete(whole ? received : truncateBody(received));
    };
    this.network.send(
      'attemptAnswer',
      gateway,
      gate,
      receive,
      exchange.breakConnection,
    );
  }

  private createHandle(
    from: SimulatedNode,
    nodeId: string,
    id: AttemptId,
    gateIncarnation: number,
    exchange: Exchange,
  ): AttemptHandle {
    return {
      cancel: () => {
        if (exchange.completed) return;
        this.state.clock.after(this.state.delayMs(), () => exchange.cancel());
        exchange.complete({
          type: 'broke',
          kind: 'connectionLost',
          ...NO_GATE_REPORT,
        });
      },
      resolve: () => this.resolve(from, nodeId, id, gateIncarnation),
      abandonConnection: () => undefined,
      acknowledge: () => undefined,
    };
  }

  private resolve(
    from: SimulatedNode,
    nodeId: string,
    id: AttemptId,
    gateIncarnation: number,
  ): Promise<RemoteResolution> {
    const to = this.state.node(nodeId);
    const failure: RemoteResolution = {type: 'unreachable'};
    return this.requestReply<RemoteResolution>(
      from,
      to,
      failure,
      'resolve',
      (node, reply) => {
        if (!this.mechanisms.fencing && !node.gate.hasLedgerEntry(id)) {
          reply({type: 'notRun', kind: 'fenced'});
          return;
        }
        node.gate.post({type: 'resolve', id, gateIncarnation, reply});
      },
    );
  }

  private requestReply<T>(
    from: SimulatedNode,
    to: SimulatedNode | undefined,
    failure: T,
    name: 'resolve' | 'askOwner',
    serve: (node: SimulatedNode, reply: (answer: T) => void) => void,
  ): Promise<T> {
    return new Promise(done => {
      const fail = (): void => done(failure);
      from.timers.after(REQUEST_TIMEOUT_MS, fail);
      if (to === undefined || to.timers.isDead) return;
      const onBreak = (): void => void from.timers.after(0, fail);
      const answer = (value: T): void => {
        const receive = (whole: boolean): void => done(whole ? value : failure);
        this.network.send(`${name}Answer`, from, to, receive, onBreak);
      };
      const deliver = (whole: boolean): void => {
        if (whole) serve(to, answer);
      };
      this.network.send(`${name}Request`, to, from, deliver, onBreak);
    });
  }
}

function truncateBody(result: AttemptResult): AttemptResult {
  if (result.type !== 'answered' || result.body.type !== 'whole') return result;
  const {bytes} = result.body;
  const half = bytes.subarray(0, bytes.length / 2);
  return {...result, body: {type: 'whole', bytes: half}};
}
