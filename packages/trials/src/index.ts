/** Randomised runs and fault matrices of the decisions in virtual time. */
export {ALL_CALL_MECHANISMS, runCallTrial} from './call/call_world';
export type {
  CallMechanisms,
  CallTrial,
  CallWorldOptions,
} from './call/call_world';
export {
  CALL_FAULTS,
  CALL_STEPS,
  FaultPlan,
  NoFaults,
  RandomFaults,
  SingleFault,
} from './call/faults';
export type {CallFault, CallStep} from './call/faults';
export {CallOracle, OracleError} from './call/oracle';
export {runTicketTrial} from './config/ticket_trial';
export type {TicketTrial, TicketTrialOptions} from './config/ticket_trial';
export {FleetWorld} from './member/fleet_world';
export type {FleetWorldOptions} from './member/fleet_world';
export {runSoak} from './soak';
export type {SoakFailure, SoakOptions, SoakReport} from './soak';
