/** Quarantine of requests that crash the servers that run them. */
export {Quarantine} from './quarantine';
export type {
  Clearance,
  QuarantineOptions,
  QuarantineStatus,
  Strike,
} from './quarantine';
