/** Admission control for one server: slots, queue, drain, warm-up and the adaptive concurrency limit. */
export {Gate} from './gate';
export type {
  Admission,
  GateCommand,
  GateOptions,
  GateRequest,
  RequestOutcome,
} from './gate';
export {AdaptiveLimit} from './adaptive_limit';
export {AnnouncementOrder} from './announcement_order';
export type {AnnouncementVersion} from './announcement_order';
export {ServerVerification} from './server_verification';
export type {
  AnnouncementEvidence,
  ServerAnnouncement,
  ServerVerificationOptions,
} from './server_verification';
export {NestedCallDetector} from './nested_call_detector';
