/** Connections from a gate to the server of its VM, and the server's runs. */
import {ServerConnections} from '@goldcresthill/node';
import type {
  ExchangeRequest,
  ExchangeResult,
  ServerExchange,
} from '@goldcresthill/node';
import type {VirtualTimers} from '@goldcresthill/test-utils';
import type {FaultyNetwork} from './faulty_network';
import {wholeAnswer} from './oracle';
import {SHED_STATUS} from './world_state';
import type {WorldNode, WorldServer, WorldState} from './world_state';

const SHED_SHARE = 0.05;
const MIN_RUN_MS = 1;
const RUN_SPREAD_MS = 30;
/** How often a gate would notice that the connection of a dead server is reset, milliseconds. */
const NOTICE_MS = 25;

/** Header by which a run is known to belong to one sending of a request. */
export const SUBMISSION_HEADER = 'x-submission';

/** One gate's connections. */
export class WorldConnections extends ServerConnections {
  constructor(
    private readonly state: WorldState,
    private readonly network: FaultyNetwork,
    private readonly nodeId: string,
    private readonly firstServer: WorldServer,
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
    const end = this.once(done);
    if (server.dead || node === undefined) {
      const refused = new Error('refused');
      this.state.clock.after(this.state.delay(), () =>
        end({type: 'broke', sent: false, err: refused}),
      );
      return {abort: () => undefined};
    }
    this.startRun(node, server, req, end);
    return {
      abort: reason => end({type: 'broke', sent: true, err: new Error(reason)}),
    };
  }

  override fetchLoad(
    _path: string,
    done: (result: ExchangeResult) => void,
  ): void {
    done({type: 'broke', sent: false, err: new Error('not served')});
  }

  override async acceptsConnections(): Promise<boolean> {
    return !this.server.dead;
  }

  override async close(): Promise<void> {}

  private get server(): WorldServer {
    return this.state.currentServer(this.nodeId, this.firstServer);
  }

  private once(
    done: (result: ExchangeResult) => void,
  ): (result: ExchangeResult) => void {
    let ended = false;
    return result => {
      if (ended) return;
      ended = true;
      this.gateTimers.after(0, () => done(result));
    };
  }

  private startRun(
    node: WorldNode,
    server: WorldServer,
    req: ExchangeRequest,
    end: (result: ExchangeResult) => void,
  ): void {
    const broke = (): void =>
      end({type: 'broke', sent: true, err: new Error('reset')});
    const sheds = this.state.random() < SHED_SHARE;
    const sentAt = this.state.clock.now;
    const answer = (): void => this.answer(node, req, sheds, end, broke);
    const run = (whole: boolean): void => {
      if (!whole || server.dead) return broke();
      if (sheds) return answer();
      this.recordRun(server, req, sentAt);
      const runMs = MIN_RUN_MS + this.state.random() * RUN_SPREAD_MS;
      server.timers.after(runMs, answer);
    };
    const stop = this.gateTimers.every(NOTICE_MS, () => {
      if (!server.dead) return;
      stop();
      broke();
    });
    this.network.sendToServer(node, server, run, broke);
  }

  private answer(
    node: WorldNode,
    req: ExchangeRequest,
    sheds: boolean,
    end: (result: ExchangeResult) => void,
    broke: () => void,
  ): void {
    const text = sheds ? 'shed' : wholeAnswer(req.path.slice(1));
    const whole: ExchangeResult = {
      type: 'answer',
      status: sheds ? SHED_STATUS : 200,
      headers: {},
      body: {type: 'whole', bytes: Buffer.from(text)},
    };
    // HTTP's own length tells the gate that an answer is not whole.
    const receive = (ok: boolean): void => (ok ? end(whole) : broke());
    this.network.send('serverAnswer', node, undefined, receive, broke);
  }

  private recordRun(
    server: WorldServer,
    req: ExchangeRequest,
    sentAt: number,
  ): void {
    const id = req.path.slice(1);
    const number = Number(req.headers[SUBMISSION_HEADER]);
    this.state.runs++;
    this.state.note(`${id} runs at ${server.instance}`);
    this.state.check(() =>
      this.state.oracle.ran(sentAt, server.instance, id, number),
    );
  }
}
