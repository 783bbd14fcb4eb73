import {desiredState, runCase, sleep, send} from '../../lib-3/fleet.mjs';
import {startServers} from '../../lib-3/load.mjs';
const routes = [
  {
    name: 'look',
    host: 'h.example',
    path_prefix: '/look/',
    type: 'idempotent',
    service: 'svc-a',
  },
];
runCase(import.meta.dirname, async ({fleet, recorder, isTrouble}) => {
  await fleet.create(['z-a', 'z-b'].map(zone => ({service: 'svc-a', zone})));
  fleet.store.operatorPut('config', 'main', desiredState(3, ['svc-a'], routes));
  await fleet.start();
  const servers = await startServers(fleet, recorder);
  await sleep(4000);
  for (let i = 0; i < 60; i++)
    await send({
      host: fleet.machines[i % 2].host,
      port: fleet.machines[i % 2].outboundPort,
      path: '/look/1',
      headers: {
        host: 'h.example',
        'x-attempt-id': `d${i}`,
        'x-deadline-ms': isTrouble ? '799.5' : '799',
      },
    });
  const d = servers.flatMap(s =>
    s.runs.map(r => Number(r.headers['x-deadline-ms'])),
  );
  console.log(d.length, Math.min(...d), Math.max(...d));
  for (const s of servers) await s.crash();
  return [];
});
