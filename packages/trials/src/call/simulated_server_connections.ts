/** Simulates the connections from a gate to the server on its VM, and the server's runs. */
import {ServerConnections} from '@goldcresthill/node';
import type {
  ExchangeRequest,
  ExchangeResult,
  ServerExchange,
} from '@goldcresthill/node';
import type {VirtualTimers} from '@goldcresthill/test-utils';
import type {FaultyNetwork} from './faulty_network';
import {expectedAnswerBody} from './guarantee_checker';
import {SHED_STATUS} from './simulation_state';
import type {
  SimulatedNode,
  SimulatedServer,
  SimulationState,
} from './simulation_state';

const SHED_PROBABILITY = 0.05;
const MIN_RUN_TIME_MS = 1;
const RUN_TIME_SPREAD_MS = 30;
/** Interval at which the gate checks whether its connection was reset by the death of the server. */
const RESET_CHECK_INTERVAL_MS = 25;

/** Header that identifies the submission that a run belongs to. */
export const SUBMISSION_HEADER = 'x-submission';

/** Connections of one gate. */
export class SimulatedServerConnections extends ServerConnections {
  constructor(
    private readonly state: SimulationState,
    private readonly network: FaultyNetwork,
    private readonly nodeId: string,
    private readonly firstServer: SimulatedServer,
    private readonly gateTimers: VirtualTimers,
  ) {
    super();
  }

  override exchange(
    req: ExchangeRequest,
    done: (result: ExchangeResult) => void,
  ): ServerExchange {
    const server = this.server;
    const node = this.state.node(this.nodeId);
    const complete = this.completeOnce(done);
    if (server.dead || node === undefined) {
      const refused = new Error('connection refused');
      this.state.clock.after(this.state.delayMs(), () =>
        complete({type: 'broke', sent: false, err: refused}),
      );
      return {isSent: false, abort: () => undefined};
    }
    this.startRun(node, server, req, complete);
    return {
      isSent: true,
      abort: reason =>
        complete({type: 'broke', sent: true, err: new Error(reason)}),
    };
  }

  override fetchLoad(
    _path: string,
    done: (result: ExchangeResult) => void,
  ): void {
    done({type: 'broke', sent: false, err: new Error('path is not served')});
  }

  override async acceptsConnections(): Promise<boolean> {
    return !this.server.dead;
  }

  override async close(): Promise<void> {}

  private get server(): SimulatedServer {
    return this.state.currentServer(this.nodeId, this.firstServer);
  }

  private completeOnce(
    done: (result: ExchangeResult) => void,
  ): (result: ExchangeResult) => void {
    let completed = false;
    return result => {
      if (completed) return;
      completed = true;
      this.gateTimers.after(0, () => done(result));
    };
  }

  private startRun(
    node: SimulatedNode,
    server: SimulatedServer,
    req: ExchangeRequest,
    complete: (result: ExchangeResult) => void,
  ): void {
    const onBreak = (): void =>
      complete({type: 'broke', sent: true, err: new Error('connection reset')});
    const isShed = this.state.random() < SHED_PROBABILITY;
    const sentAt = this.state.clock.now;
    const sendAnswer = (): void =>
      this.sendAnswer(node, req, isShed, complete, onBreak);
    const run = (whole: boolean): void => {
      if (!whole || server.dead) return onBreak();
      if (isShed) return sendAnswer();
      this.recordRun(server, req, sentAt);
      const runMs = MIN_RUN_TIME_MS + this.state.random() * RUN_TIME_SPREAD_MS;
      server.timers.after(runMs, sendAnswer);
    };
    const stopChecking = this.gateTimers.every(RESET_CHECK_INTERVAL_MS, () => {
      if (!server.dead) return;
      stopChecking();
      onBreak();
    });
    this.network.sendToServer(node, server, run, onBreak);
  }

  private sendAnswer(
    node: SimulatedNode,
    req: ExchangeRequest,
    isShed: boolean,
    complete: (result: ExchangeResult) => void,
    onBreak: () => void,
  ): void {
    const text = isShed ? 'shed' : expectedAnswerBody(req.path.slice(1));
    const result: ExchangeResult = {
      type: 'answer',
      status: isShed ? SHED_STATUS : 200,
      headers: {},
      body: {type: 'whole', bytes: Buffer.from(text)},
    };
    // The gate detects a truncated answer by the length that HTTP carries.
    const receive = (ok: boolean): void => (ok ? complete(result) : onBreak());
    this.network.send('serverAnswer', node, undefined, receive, onBreak);
  }

  private recordRun(
    server: SimulatedServer,
    req: ExchangeRequest,
    sentAt: number,
  ): void {
    const id = req.path.slice(1);
    const number = Number(req.headers[SUBMISSION_HEADER]);
    this.state.runCount++;
    this.state.addTrace(`${id} runs at ${server.instance}`);
    this.state.check(() =>
      this.state.checker.recordRun(sentAt, server.instance, id, number),
    );
  }
}
