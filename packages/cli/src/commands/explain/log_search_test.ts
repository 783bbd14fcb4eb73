import {describe, expect, it} from 'vitest';
import {elapsedMs, findDecisions} from './log_search';

const LOG = `\
   0.839 huron-3 {"timestamp":"2026-12-04T10:00:00.839Z","node":"huron-3","callId":"f6f0","what":"route","attempt":1,"level":"info","message":"decision"}
   0.600 huron-3 {"timestamp":"2026-12-04T10:00:00.600Z","node":"huron-3","callId":"f6f0","what":"route","attempt":0,"level":"info","message":"decision"}
{"timestamp":"2026-12-04T10:00:00.837Z","node":"superior-1","callId":"f6f0","what":"gate","reason":"queueFull","level":"info","message":"decision"}
{"timestamp":"2026-12-04T10:00:00.900Z","node":"superior-1","callId":"another","what":"gate","detail":"f6f0","level":"info","message":"decision"}
{"timestamp":"2026-12-04T10:00:00.950Z","node":"superior-1","callId":"f6f0","what":"ga
f6f0 without JSON
`;

describe('findDecisions', () => {
  it('returns the decisions of all nodes for a call in order of time', () => {
    expect(findDecisions(LOG, 'f6f0')).toMatchInlineSnapshot(`
      [
        {
          "fields": {
            "attempt": 0,
            "what": "route",
          },
          "node": "huron-3",
          "timestamp": "2026-12-04T10:00:00.600Z",
        },
        {
          "fields": {
            "reason": "queueFull",
            "what": "gate",
          },
          "node": "superior-1",
          "timestamp": "2026-12-04T10:00:00.837Z",
        },
        {
          "fields": {
            "attempt": 1,
            "what": "route",
          },
          "node": "huron-3",
          "timestamp": "2026-12-04T10:00:00.839Z",
        },
      ]
    `);
  });

  it('returns nothing for an unknown call', () => {
    expect(findDecisions(LOG, 'f6')).toEqual([]);
  });

  it('returns the time between two decisions', () => {
    const [first, second] = findDecisions(LOG, 'f6f0');
    if (first === undefined || second === undefined) throw new Error('missing');
    expect(elapsedMs(first, second)).toBe(237);
  });
});
