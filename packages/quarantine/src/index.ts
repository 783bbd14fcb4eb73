/** Requests that bring down the servers that run them. */
export {Quarantine} from './quarantine';
export type {
  Clearance,
  QuarantineOptions,
  QuarantineStatus,
  Strike,
} from './quarantine';
