/** Messages to and from the gate task. */
import type {Resolution} from '@goldcresthill/attempts';
import type {ErrorKind} from '@goldcresthill/errors';
import type {AnnouncementVersion} from '@goldcresthill/gate';
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

/** A whole answer that the ledger may keep. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** How an attempt ended at the gate. */
export type AttemptResult = {
  readonly report: LoadReport | undefined;
  /** Time spent at the gate and the server, microseconds. */
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

/** An attempt as it arrives at the gate. */
export interface AttemptRequest {
  readonly id: AttemptId;
  /** Whether the call must not be repeated. */
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
  /** Rank of the call; 0 goes first. */
  readonly priority: number;
  /** Instant up to which an answer is worth its full value. */
  readonly objective: Millis;
  /** The caller was refused before. */
  readonly returning: boolean;
  readonly suspect: boolean;
  readonly reply: (result: AttemptResult) => void;
}

/** What a server says of itself. */
export interface Announcement {
  readonly service: string;
  readonly port: number;
  readonly slots: number;
  readonly instance: string;
  readonly state: ServerState;
  /** Orders announcements that may arrive late; undefined if they cannot. */
  readonly version?: AnnouncementVersion;
}

/** Messages that the gate task takes. */
export type GateMessage =
  | {
      readonly type: 'attempt';
      readonly req: AttemptRequest;
      /** Receives a function that cancels the attempt. */
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
      /** Server processes that have said that they leave, in an earlier process of this node. */
      readonly type: 'left';
      readonly instances: readonly string[];
    }
  | {
      readonly type: 'configure';
      readonly rules: ReadonlyMap<string, ServiceRules>;
    }
  | {readonly type: 'drain'}
  | {readonly type: 'tick'}
  /** Requests in line are to be looked at. */
  | {readonly type: 'checkQueues'};

/** What the gate task tells the rest of the node. */
export interface GateEvents {
  /** Servers of this VM, whenever one has changed. */
  readonly onServers: (servers: readonly ServerRecord[]) => void;
  /** These requests were in flight at a server that died. */
  readonly onServerDied: (
    instance: string,
    fingerprints: readonly string[],
  ) => void;
  /** A request completed. */
  readonly onCompleted: (fingerprint: () => string) => void;
  readonly onFault: (err: unknown) => void;
  readonly onDecision: (fields: Readonly<Record<string, unknown>>) => void;
}
