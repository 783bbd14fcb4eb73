import {formatIssues} from '@goldcresthill/ini-document';
import {describe, expect, it} from 'vitest';
import {parseSettings, SETTINGS_EXAMPLE} from './settings';

describe('parseSettings', () => {
  it('reads the mechanisms to switch off, and refuses unknown ones', () => {
    const parse = (off: string) =>
      parseSettings(`${SETTINGS_EXAMPLE}\n[ablation]\noff = ${off}\n`);
    expect(parse('hedging, locality')._unsafeUnwrap().ablation.off).toEqual([
      'hedging',
      'locality',
    ]);
    expect(parse('hedging, luck').isErr()).toBe(true);
  });

  it('fills in defaults', () => {
    expect(parseSettings(SETTINGS_EXAMPLE)._unsafeUnwrap())
      .toMatchInlineSnapshot(`
        {
          "ablation": {
            "off": [],
          },
          "callers": {
            "buffered_bytes": 33554432,
            "header_bytes": 16384,
            "max_connections": 4096,
            "slow_sender_ms": 10000,
          },
          "keys": {
            "retention_hours": 24,
          },
          "logs": {
            "buffered_lines": 2000,
            "decision_percent": 100,
            "level": "info",
          },
          "membership": {
            "bytes_per_second": 9000,
            "peers": [],
            "round_ms": 1000,
          },
          "node": {
            "advertised_control_port": 0,
            "advertised_data_port": 0,
            "caller_port": 8080,
            "control_port": 8082,
            "data_port": 8081,
            "domain": "domain-a",
            "grace_seconds": 30,
            "host": "127.0.0.1",
            "id": "vm-1",
            "operator_port": 8083,
            "region": "region-1",
          },
          "platform": {
            "calls_per_second": 20,
            "timeout_ms": 1000,
            "url": "http://127.0.0.1:9000",
          },
        }
      `);
  });

  it('reports every issue', () => {
    const faulty = `stray = 1
[node]
id = vm 1
hots = 10.0.0.1
caller_port = 70000
[platform]
[nodes]
`;
    expect(
      formatIssues(parseSettings(faulty)._unsafeUnwrapErr()),
    ).toMatchInlineSnapshot('"[] stray = 1: keys stand within a section"');
    const named = faulty.replace('stray = 1\n', '');
    expect(formatIssues(parseSettings(named)._unsafeUnwrapErr()))
      .toMatchInlineSnapshot(`
        "[nodes]: no such section; there are node, platform, membership, callers, keys, logs, ablation
        [node] hots = 10.0.0.1: no such key; did you mean host?
        [node] id = vm 1: a name of letters, digits, dots, dashes or underscores
        [node] domain: a name of letters, digits, dots, dashes or underscores
        [node] caller_port = 70000: a whole number from 0 to 65535
        [platform] url: an http or https URL"
      `);
  });
});
