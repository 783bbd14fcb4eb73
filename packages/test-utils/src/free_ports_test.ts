import {describe, expect, it} from 'vitest';
import {freePorts} from './free_ports';

/** From here on Linux takes ports for outgoing connections. */
const FIRST_EPHEMERAL_PORT = 32_768;

describe('freePorts', () => {
  it('gives ports that no outgoing connection can take meanwhile', async () => {
    const ports = await freePorts(50);
    expect(Math.max(...ports)).toBeLessThan(FIRST_EPHEMERAL_PORT);
  });

  it('gives no port twice', async () => {
    const ports = [...(await freePorts(20)), ...(await freePorts(20))];
    expect(new Set(ports).size).toBe(40);
  });
});
