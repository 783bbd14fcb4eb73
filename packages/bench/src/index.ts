/** Load, experiments and trials in virtual time. */
export {runDemo} from './demo';
export type {DemoOptions, DemoReport} from './demo';
export {callerUrl, endProcess, Fleet, operatorUrl} from './fleet/fleet';
export type {
  FleetMember,
  FleetOptions,
  FleetService,
  FleetStatus,
} from './fleet/fleet';
export {runLoad} from './load/open_loop';
export type {
  LoadCall,
  LoadOptions,
  LoadResult,
  LoadStream,
} from './load/open_loop';
