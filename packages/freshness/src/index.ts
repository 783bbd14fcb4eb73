/** Proofs that what a node holds of the store was the newest a short time ago. */
export {elapsedMs} from './clock_reading';
export type {ClockReading} from './clock_reading';
export {FreshnessProof} from './freshness_proof';
export type {
  FreshnessProofOptions,
  ObjectProof,
  QueryRef,
} from './freshness_proof';
export {ProofPlanner} from './proof_planner';
export type {
  ProofPeer,
  ProofPeers,
  ProofPlannerOptions,
  ProofTarget,
} from './proof_planner';
