import {describe, expect, it} from 'vitest';
import {claimPortBlock, freePorts} from './free_ports';

/** First port that Linux uses for outgoing connections. */
const FIRST_EPHEMERAL_PORT = 32_768;

describe('freePorts', () => {
  it('returns only ports below the range of outgoing connections', async () => {
    const ports = await freePorts(50);
    expect(Math.max(...ports)).toBeLessThan(FIRST_EPHEMERAL_PORT);
  });

  it('returns no port twice', async () => {
    const ports = [...(await freePorts(20)), ...(await freePorts(20))];
    expect(new Set(ports).size).toBe(40);
  });

  it('gives two processes that prefer the same block different ports', async () => {
    const first = await claimPortBlock(3);
    const second = await claimPortBlock(3);
    const ports = [first, second].map(block => block.next());
    first.close();
    second.close();
    expect(new Set(ports).size).toBe(2);
  });
});
