/** Exchanges of a gateway with gates and with other gateways. */
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
import {SERVICE} from './world_state';
import type {WorldNode, WorldState} from './world_state';

/** Mechanisms on the way between gateway and gate that can be turned off. */
export interface LinkMechanisms {
  readonly fencing: boolean;
  readonly answerChecks: boolean;
}

interface Exchange {
  ended: boolean;
  cancel: () => void;
  readonly end: (result: AttemptResult) => void;
  readonly broke: () => void;
}

const NOTHING = {report: undefined, gateUs: 0};
const ASK_TIMEOUT_MS = 500;

/** Links of all gateways of a trial. */
export class GatewayLinks {
  private attemptSeq = 0;
  private lastAnswer: AttemptResult | undefined;

  constructor(
    private readonly state: WorldState,
    private readonly network: FaultyNetwork,
    private readonly mechanisms: LinkMechanisms,
  ) {}

  /** Sends an attempt to the gate of a chosen server. */
  sendAttempt(
    from: WorldNode,
    call: OutgoingCall,
    pick: PickedServer,
    suspect: boolean,
    done: (result: AttemptResult) => void,
  ): AttemptHandle | undefined {
    const to = this.state.node(pick.nodeId);
    if (to === undefined) return undefined;
    const {nodeId: gateway, bootId: incarnation} = from.address;
    const id = {gateway, incarnation, seq: this.attemptSeq++};
    const gateIncarnation = to.address.bootId;
    const exchange = this.open(from, done);
    if (to.timers.isDead) {
      const refused = {
        type: 'refused',
        kind: 'serverUnreachable',
        ...NOTHING,
      } as const;
      from.timers.after(this.state.delay(), () => exchange.end(refused));
    } else {
      const req = this.request(call, id, gateIncarnation, suspect, result =>
        this.sendAnswer(to, from, result, exchange),
      );
      const deliver = (): void =>
        to.gate.post({
          type: 'attempt',
          req,
          provideCancel: cancel => (exchange.cancel = cancel),
        });
      // A truncated request does not parse, so that it never arrives.
      const receive = (whole: boolean): void =>
        whole ? deliver() : exchange.broke();
      this.network.send('attemptRequest', to, from, receive, exchange.broke);
    }
    return this.handle(from, pick.nodeId, id, gateIncarnation, exchange);
  }

  /** Asks the gateway that holds a claim. */
  askOwner(from: WorldNode, record: ClaimRecord): Promise<OwnerReply> {
    const to = this.state.node(record.gateway);
    const failure: OwnerReply = {answer: 'unreachable', kept: undefined};
    return this.ask(from, to, failure, 'askOwner', (owner, reply) => {
      const same = owner.address.bootId === record.incarnation;
      const unknown: OwnerReply = {answer: 'unknown', kept: undefined};
      reply(same ? owner.handler.askKey(record.token) : unknown);
    });
  }

  private open(
    from: WorldNode,
    done: (result: AttemptResult) => void,
  ): Exchange {
    const exchange: Exchange = {
      ended: false,
      cancel: () => undefined,
      end: result => {
        if (exchange.ended) return;
        exchange.ended = true;
        done(result);
      },
      broke: () => {
        const result = {
          type: 'broke',
          kind: 'connectionLost',
          ...NOTHING,
        } as const;
        from.timers.after(0, () => exchange.end(result));
      },
    };
    return exchange;
  }

  private request(
    call: OutgoingCall,
    id: AttemptId,
    gateIncarnation: number,
    suspect: boolean,
    reply: (result: AttemptResult) => void,
  ): AttemptRequest {
    const {info, method, path, headers, body} = call;
    return {
      id,
      once: !info.repeatable,
      gateIncarnation,
      callId: info.callId,
      service: SERVICE,
      method,
      path,
      headers,
      body,
      deadline: info.deadline,
      route: info.route,
      origin: info.origin,
      priority: info.priority,
      objective: info.objective,
      returning: info.returning,
      suspect,
      reply,
    };
  }

  private sendAnswer(
    gate: WorldNode,
    gateway: WorldNode,
    result: AttemptResult,
    exchange: Exchange,
  ): void {
    const receive = (whole: boolean): void => {
      const other = this.network.takeSwap() ? this.lastAnswer : undefined;
      this.lastAnswer = result;
      if (this.mechanisms.answerChecks && (!whole || other !== undefined)) {
        exchange.end({type: 'broke', kind: 'brokenAnswer', ...NOTHING});
        return;
      }
      const seen = other ?? result;
      exchange.end(whole ? seen : truncated(seen));
    };
    this.network.send('attemptAnswer', gateway, gate, receive, exchange.broke);
  }

  private handle(
    from: WorldNode,
    nodeId: string,
    id: AttemptId,
    gateIncarnation: number,
    exchange: Exchange,
  ): AttemptHandle {
    return {
      cancel: () => {
        if (exchange.ended) return;
        this.state.clock.after(this.state.delay(), () => exchange.cancel());
        exchange.end({type: 'broke', kind: 'connectionLost', ...NOTHING});
      },
      resolve: () => this.resolve(from, nodeId, id, gateIncarnation),
      giveUpConnection: () => undefined,
      acknowledge: () => undefined,
    };
  }

  private resolve(
    from: WorldNode,
    nodeId: string,
    id: AttemptId,
    gateIncarnation: number,
  ): Promise<RemoteResolution> {
    const to = this.state.node(nodeId);
    const failure: RemoteResolution = {type: 'unreachable'};
    return this.ask<RemoteResolution>(
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

  private ask<T>(
    from: WorldNode,
    to: WorldNode | undefined,
    failure: T,
    name: 'resolve' | 'askOwner',
    serve: (node: WorldNode, reply: (answer: T) => void) => void,
  ): Promise<T> {
    return new Promise(done => {
      const fail = (): void => done(failure);
      from.timers.after(ASK_TIMEOUT_MS, fail);
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

function truncated(result: AttemptResult): AttemptResult {
  if (result.type !== 'answered' || result.body.type !== 'whole') return result;
  const {bytes} = result.body;
  const half = bytes.subarray(0, bytes.length / 2);
  return {...result, body: {type: 'whole', bytes: half}};
}
