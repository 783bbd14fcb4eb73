/** Messages to and from the gate task. */
import type {Resolution} from '@goldcresthill/attempts';
import type {ErrorKind} from '@goldcresthill/errors';
import type {
  AnnouncementEvidence,
  AnnouncementVersion,
} from '@goldcresthill/gate';
import type {
  AttemptId,
  LoadReport,
  Micros,
  Millis,
  ServerRecord,
  ServerState,
  ServiceRules,
} from '@goldcresthill/types';
import type {IncomingHttpHeaders} from 'node:http';
import type {AnswerBody} from '../http/exchange';
import type {HeaderMap} from '../http/header_filter';

/** An answer held whole in memory, which the ledger may keep. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** How an attempt ended at the gate. */
export type AttemptResult = {
  readonly report: LoadReport | undefined;
  /** Time from the arrival at the gate to the answer of the server, microseconds. */
  readonly gateUs: Micros;
} & (
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: AnswerBody;
    }
  | {readonly type: 'refused'; readonly kind: ErrorKind}
  | {readonly type: 'broke'; readonly kind: ErrorKind}
);

/** An attempt as received by the gate. */
export interface AttemptRequest {
  readonly id: AttemptId;
  /** Whether the call must not run more than once. */
  readonly once: boolean;
  readonly gateIncarnation: number;
  readonly callId: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Buffer;
  readonly deadline: Millis;
  readonly route: string;
  readonly origin: string;
  /** Priority of the call; 0 is the highest. */
  readonly priority: number;
  /** Time up to which an answer meets the latency objective. */
  readonly objective: Millis;
  /** Whether the caller was refused before and retries. */
  readonly returning: boolean;
  readonly suspect: boolean;
  /** Whether it is refused rather than started if it is not expected to end by its deadline. */
  readonly mustEnd: boolean;
  readonly reply: (result: AttemptResult) => void;
}

/** Announcement of a server: its address on this VM, its capacity and its state. */
export interface Announcement {
  readonly service: string;
  readonly port: number;
  readonly slots: number;
  readonly instance: string;
  readonly state: ServerState;
  /** Instance under which others remember that the server has left, if it covers more than `instance`. */
  readonly leftAs?: string;
  /** Time for which the server stays cold, milliseconds; undefined if it does not say. */
  readonly coldMs?: Millis;
  /** Orders announcements that may arrive out of order; undefined if they cannot. */
  readonly version?: AnnouncementVersion;
  /** What shows that it was made after this process started; nothing by default. */
  readonly evidence?: AnnouncementEvidence;
}

/** Whether the failure domain of a gate is evacuated. */
export type GateEvacuation = 'none' | 'evacuated' | 'unknown';

/** Messages that the gate task accepts. */
export type GateMessage =
  | {
      readonly type: 'attempt';
      readonly req: AttemptRequest;
      /** Called with a function that cancels the attempt. */
      readonly provideCancel: (cancel: () => void) => void;
    }
  | {
      readonly type: 'resolve';
      readonly id: AttemptId;
      readonly gateIncarnation: number;
      readonly reply: (resolution: Resolution<BufferedAnswer>) => void;
    }
  | {readonly type: 'acknowledge'; readonly id: AttemptId}
  | {readonly type: 'announce'; readonly announcement: Announcement}
  | {
      /** Server processes that announced their shutdown to an earlier process of this node. */
      readonly type: 'left';
      readonly instances: readonly string[];
    }
  | {
      readonly type: 'configure';
      readonly rules: ReadonlyMap<string, ServiceRules>;
    }
  | {readonly type: 'drain'}
  /** Refuses new and queued attempts while the failure domain of this node is evacuated, or may be. */
  | {readonly type: 'evacuate'; readonly evacuation: GateEvacuation}
  | {readonly type: 'tick'}
  /** Unverified servers get no more requests. */
  | {readonly type: 'verificationDue'}
  /** Expires or starts queued requests. */
  | {readonly type: 'checkQueues'};

/** Events of the gate task. */
export interface GateEvents {
  /** Receives all servers of this VM whenever one has changed. */
  readonly onServers: (servers: readonly ServerRecord[]) => void;
  /** A server process has said in an answer, rather than by an announcement, that it is about to shut down. */
  readonly onServerLeaving: (instance: string) => void;
  /** A server died; receives the fingerprints of the requests in flight there. */
  readonly onServerDied: (
    instance: string,
    fingerprints: readonly string[],
  ) => void;
  /** A request completed; its fingerprint is computed on demand. */
  readonly onCompleted: (fingerprint: () => string) => void;
  readonly onFault: (err: unknown) => void;
  readonly onDecision: (fields: Readonly<Record<string, unknown>>) => void;
}
