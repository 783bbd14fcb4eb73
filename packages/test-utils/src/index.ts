/** Test doubles for the environment: the platform's store, servers, unreliable connections and time. */
export {MemoryPlatform} from './memory_platform';
export type {PlatformCopy} from './memory_platform';
export {EndlessServer} from './endless_server';
export type {EndlessPart} from './endless_server';
export {StaleStore} from './stale_store';
export type {StaleStoreOptions, StoreAvailability} from './stale_store';
export {PlatformServer} from './platform_server';
export type {PlatformMode} from './platform_server';
export {FakeServer} from './fake_server';
export type {FakeServerOptions, ServiceTimeDistribution} from './fake_server';
export {Announcer} from './announcer';
export {TcpRelay} from './tcp_relay';
export {VirtualClock} from './virtual_clock';
export {VirtualTimers} from './virtual_timers';
export {rethrow} from './rethrow';
export {seededRandom} from './seeded_random';
export {freePorts} from './free_ports';
export {ENDLESS_FAULTS, SidecarServer} from './sidecar_server';
export type {
  AnswerFault,
  EndlessFault,
  SidecarServerOptions,
  WrittenFault,
} from './sidecar_server';
