/** Randomised trials and fault matrices that run the production decision code in virtual time. */
export {ALL_CALL_MECHANISMS, runCallTrial} from './call/call_simulation';
export type {
  CallMechanisms,
  CallTrialResult,
  CallTrialOptions,
} from './call/call_simulation';
export {
  CALL_FAULTS,
  CALL_STEPS,
  FaultPlan,
  NoFaults,
  RandomFaults,
  SingleFault,
} from './call/faults';
export type {CallFault, CallStep} from './call/faults';
export {CallGuaranteeChecker, GuaranteeError} from './call/guarantee_checker';
export {runTicketTrial} from './config/ticket_trial';
export type {
  TicketTrialResult,
  TicketTrialOptions,
} from './config/ticket_trial';
export {FleetSimulation} from './member/fleet_simulation';
export type {FleetSimulationOptions} from './member/fleet_simulation';
export {runSoak} from './soak';
export type {SoakFailure, SoakOptions, SoakReport} from './soak';
