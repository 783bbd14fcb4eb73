import {DEFAULT_SERVICE_RULES} from '@goldcresthill/types';
import {describe, expect, it} from 'vitest';
import {ServiceRouter} from './service_router';
import type {PickResult, ServerEndpoint} from './service_router';

const endpointOf = (id: string): ServerEndpoint => ({
  id,
  nodeId: id,
  domain: 'd',
  slots: 10,
  state: 'up',
  networkUs: 500,
  instance: id,
});

function result(id: string, outcome: PickResult['outcome']): PickResult {
  return {id, elapsedMs: 1, report: undefined, gateUs: undefined, outcome};
}

describe('ServiceRouter', () => {
  it('routes away from a server that rejects calls although it has capacity', () => {
    const router = new ServiceRouter(0, {
      gatewayNodeId: 'gateway',
      rules: DEFAULT_SERVICE_RULES,
      random: () => 0,
    });
    router.setServers([endpointOf('rejecting'), endpointOf('sound')]);
    const picked: string[] = [];
    for (let now = 0; now < 100; now++) {
      const id = router.pick(now)?.id ?? '';
      const outcome = id === 'rejecting' ? 'rejected' : 'answered';
      router.recordResult(now, result(id, outcome));
      picked.push(id);
    }
    const rejected = picked.filter(id => id === 'rejecting').length;
    expect(rejected).toBeLessThanOrEqual(5);
  });
});
