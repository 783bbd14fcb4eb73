/** Creates the tasks of a node and forwards messages between them. */
import type {Logger} from '@goldcresthill/logger';
import {ownerOf} from '@goldcresthill/membership';
import type {QuarantineUpdate} from '@goldcresthill/membership';
import type {Metrics} from '@goldcresthill/metrics';
import type {ObjectStore, StoreBreaker} from '@goldcresthill/object-store';
import type {NodeSettings} from '@goldcresthill/settings';
import type {Configuration} from '@goldcresthill/tickets';
import type {Timers} from '@goldcresthill/timers';
import {withoutMechanisms} from '@goldcresthill/types';
import type {
  NodeAddress,
  ServerRecord,
  ServiceRules,
} from '@goldcresthill/types';
import {ControlPlane} from './control_plane';
import {DataListener} from './gate/data_listener';
import {GateTask} from './gate/gate_task';
import {HttpServerConnections} from './gate/server_connections';
import {OwnServerInterface} from './gate/server_interface';
import {OwnCallerInterface} from './gateway/caller_interface';
import {ClaimSweeper} from './gateway/claim_sweeper';
import {QuarantineReporter} from './gateway/quarantine_reporter';
import type {DecisionLog} from './gateway/decision_log';
import {GatewayTask} from './gateway/gateway_task';
import {DispatchQueue} from './http/dispatch_queue';
import type {InputBudget} from './http/input_budget';
import {ControlLinks} from './member/control_links';
import {ControlListener} from './member/control_listener';
import {OperatorListener} from './operator/operator_listener';
import type {NodeStatus} from './operator/status';

/** Ports on which a node listens. */
export interface NodePorts {
  readonly caller: number;
  readonly data: number;
  readonly control: number;
  readonly operator: number;
}

/** Settings and objects that the tasks share. */
export interface TasksOptions {
  readonly settings: NodeSettings;
  readonly logger: Logger;
  readonly random: () => number;
  readonly timers: Timers;
  readonly address: NodeAddress;
  readonly incarnation: number;
  readonly store: ObjectStore;
  readonly breaker: StoreBreaker;
  readonly budget: InputBudget;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly status: () => NodeStatus;
  readonly onFault: (err: unknown) => void;
}

const LOOPBACK = '127.0.0.1';
const MILLIS_PER_HOUR = 3_600_000;

/** All tasks of a node. */
export class Tasks {
  readonly gate: GateTask;
  readonly gateway: GatewayTask;
  readonly control: ControlPlane;
  private readonly data: DataListener;
  private readonly controlListener: ControlListener;
  private readonly operator: OperatorListener;
  private readonly sweeper: ClaimSweeper;
  private readonly quarantineReporter: QuarantineReporter;
  private readonly dispatchQueue: DispatchQueue;

  constructor(private readonly options: TasksOptions) {
    const {onFault} = options;
    this.dispatchQueue = new DispatchQueue({onFault});
    this.quarantineReporter = new QuarantineReporter({
      timers: options.timers,
      logger: options.logger,
      quarantine: () => this.gateway.quarantine,
      publish: news => this.publishQuarantineUpdate(news),
    });
    this.gate = this.makeGate();
    this.gateway = this.makeGateway();
    this.control = this.makeControl();
    this.data = this.makeData();
    this.controlListener = this.makeControlListener();
    this.operator = this.makeOperator();
    this.sweeper = this.makeSweeper();
  }

  async listen(): Promise<NodePorts> {
    const [caller, data, control, operator] = await Promise.all([
      this.gateway.listen(),
      this.data.listen(),
      this.controlListener.listen(),
      this.operator.listen(),
    ]);
    return {caller, data, control, operator};
  }

  get isIdle(): boolean {
    return this.gate.isIdle && this.gateway.callsOpen === 0;
  }

  async close(): Promise<void> {
    this.sweeper.close();
    this.dispatchQueue.close();
    await Promise.all([
      this.control.close(),
      this.operator.close(),
      this.controlListener.close(),
      this.gateway.close(),
      this.data.close(),
      this.gate.close(),
    ]);
  }

  private makeGate(): GateTask {
    const {address, budget, logger, timers, onFault} = this.options;
    return new GateTask({
      timers,
      connect: ({port, slots}) =>
        new HttpServerConnections({host: LOOPBACK, port}, slots, budget),
      serverInterface: new OwnServerInterface(),
      nodeId: address.nodeId,
      incarnation: address.bootId,
      events: {
        onServers: servers => this.onServers(servers),
        onServerLeaving: () => undefined,
        onServerDied: (instance, fingerprints) =>
          this.quarantineReporter.reportServerDeath(instance, fingerprints),
        onCompleted: fingerprint =>
          this.quarantineReporter.reportCompletion(fingerprint),
        onFault,
        onDecision: fields => logger.decision(fields),
      },
    });
  }

  private makeGateway(): GatewayTask {
    const {settings, address, store, budget, decisions, metrics, random} =
      this.options;
    return new GatewayTask({
      timers: this.options.timers,
      address,
      callers: new OwnCallerInterface(),
      callerPort: settings.node.caller_port,
      maxConnections: settings.callers.max_connections,
      headerBytes: settings.callers.header_bytes,
      slowSenderMs: settings.callers.slow_sender_ms,
      gate: this.gate,
      store,
      budget,
      dispatchQueue: this.dispatchQueue,
      decisions,
      metrics,
      random,
      onFault: this.options.onFault,
    });
  }

  private makeControl(): ControlPlane {
    const {settings, logger, onFault} = this.options;
    return new ControlPlane({
      ...this.options,
      roundMs: settings.membership.round_ms,
      bytesPerSecond: settings.membership.bytes_per_second,
      links: new ControlLinks(),
      peers: settings.membership.peers.map(peerAddress),
      events: {
        onMembers: (records, cutDomains) =>
          this.gateway.post({type: 'members', records, cutDomains}),
        onConfiguration: (configuration, source) =>
          this.onConfiguration(configuration, source),
        onQuarantineUpdate: news => this.onQuarantineUpdate(news),
        onStatus: (member, status, reason) =>
          logger.info('member', {member, status, reason}),
        onFault,
      },
    });
  }

  private makeData(): DataListener {
    const {address, budget, logger, settings, timers} = this.options;
    return new DataListener({
      timers,
      host: address.host,
      port: settings.node.data_port,
      incarnation: address.bootId,
      gate: this.gate,
      budget,
      dispatchQueue: this.dispatchQueue,
      onDecision: fields => logger.decision(fields),
      answerOwnerQuery: token => this.gateway.lookUpClaim(token),
      onFault: this.options.onFault,
    });
  }

  private makeControlListener(): ControlListener {
    const {address, settings} = this.options;
    return new ControlListener({
      host: address.host,
      port: settings.node.control_port,
      onExchange: message => this.control.receive(message),
      onFetchConfig: since => this.control.deltaFor(since),
    });
  }

  private makeOperator(): OperatorListener {
    const {address, budget, settings, metrics, decisions, status} =
      this.options;
    return new OperatorListener({
      host: address.host,
      port: settings.node.operator_port,
      onAnnouncement: announcement =>
        this.gate.post({type: 'announce', announcement}),
      onTicket: (ticket, reply) => this.control.submit(ticket, reply),
      status,
      configuration: () => this.control.config.current,
      metrics: () => metrics.renderText(),
      explain: callId => decisions.explain(callId),
      budget,
      onFault: this.options.onFault,
    });
  }

  private makeSweeper(): ClaimSweeper {
    const {address, settings, store, timers, onFault} = this.options;
    const {membership} = this.control.member;
    return new ClaimSweeper({
      store,
      timers,
      onFault,
      retentionMs: settings.keys.retention_hours * MILLIS_PER_HOUR,
      isOwner: shard =>
        ownerOf(`sweep|${shard}`, membership.reachable()) === address.nodeId,
    });
  }

  private onServers(servers: readonly ServerRecord[]): void {
    const summary = servers.map(s => `${s.service}:${s.state}`);
    this.options.logger.decision({what: 'servers', servers: summary});
    this.control.setServers(servers);
  }

  private publishQuarantineUpdate(update: QuarantineUpdate): void {
    this.gateway.post({type: 'news', news: update});
    this.control.publishQuarantineUpdate(update);
  }

  private onQuarantineUpdate(update: QuarantineUpdate): void {
    const {quarantine} = this.gateway;
    const isNew =
      update.type === 'strike'
        ? quarantine.recordStrike(update)
        : quarantine.recordClearance(update);
    if (isNew) this.control.publishQuarantineUpdate(update);
  }

  private onConfiguration(configuration: Configuration, source: string): void {
    const {revision} = configuration;
    this.options.logger.info('configuration', {revision, source});
    const {off} = this.options.settings.ablation;
    const rules = new Map<string, ServiceRules>();
    for (const [service, entry] of Object.entries(configuration.services)) {
      if (entry.rules === undefined) continue;
      rules.set(service, withoutMechanisms(entry.rules, off));
    }
    this.gateway.post({type: 'configure', rules});
    this.gate.post({type: 'configure', rules});
  }
}

// The settings contain only host and port of a peer; the rest arrives with its first message.
function peerAddress(peer: string): NodeAddress {
  const [host = '', port = ''] = peer.split(':');
  return {
    nodeId: `peer ${peer}`,
    bootId: 0,
    host,
    dataPort: 0,
    controlPort: Number(port),
    domain: '',
    region: '',
  };
}
