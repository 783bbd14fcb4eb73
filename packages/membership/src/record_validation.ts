/** Validation of records and addresses that come from other programs. */
import {isEndpoint} from '@goldcresthill/types';
import type {NodeAddress, ServerRecord} from '@goldcresthill/types';
import type {MemberRecord} from './member_record';

/** Largest accepted counter. Counters are raised by one, which larger numbers do not represent exactly. */
const MAX_COUNTER = Number.MAX_SAFE_INTEGER / 2;
const MAX_PORT = 65_535;

export function isValidAddress(address: NodeAddress): boolean {
  const {nodeId, bootId, host, dataPort, controlPort} = address;
  return (
    nodeId !== '' &&
    isCounter(bootId) &&
    isEndpoint(host, dataPort) &&
    isEndpoint(host, controlPort)
  );
}

export function isValidRecord(record: MemberRecord): boolean {
  const {address, incarnation, version, servers} = record;
  return (
    isValidAddress(address) &&
    isCounter(incarnation) &&
    isCounter(version) &&
    servers.every(isValidServer)
  );
}

// Port 0 stands for a server that has not announced itself yet.
function isValidServer({port, slots}: ServerRecord): boolean {
  return isCounter(port) && port <= MAX_PORT && isCounter(slots);
}

function isCounter(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= MAX_COUNTER;
}
