/** Admission to one server: slots, queue, drain, warm-up and the adaptive limit. */
export {Gate} from './gate';
export type {
  Admission,
  GateCommand,
  GateOptions,
  GateRequest,
  Outcome,
} from './gate';
export {AdaptiveLimit} from './adaptive_limit';
export {AnnouncementOrder} from './announcement_order';
export type {AnnouncementMark} from './announcement_order';
export {CallOrigins} from './call_origins';
