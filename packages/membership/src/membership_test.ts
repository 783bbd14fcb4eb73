import type {NodeAddress} from '@goldcresthill/types';
import {describe, expect, it} from 'vitest';
import type {ExchangeMessage} from './exchange_message';
import {messageBytes} from './exchange_message';
import {Membership} from './membership';
import type {MemberCommand} from './membership_types';

function addressOf(nodeId: string, bootId: number): NodeAddress {
  const port = {dataPort: 1, controlPort: 2};
  return {nodeId, bootId, host: '10.0.0.1', ...port, domain: 'a', region: 'r'};
}

function newMembership(
  nodeId: string,
  bootId: number,
  maxMessageBytes?: number,
  random: () => number = () => 0,
) {
  return new Membership(0, {
    self: addressOf(nodeId, bootId),
    incarnation: bootId,
    random,
    maxMessageBytes,
  });
}

/** Returns a function that yields evenly distributed fractions. */
function newRandom(): () => number {
  let last = 0;
  return () => (last = (last + Math.SQRT2) % 1);
}

function leavingInstances(
  commands: readonly MemberCommand[],
): readonly string[] {
  return commands.flatMap(c => (c.type === 'leaving' ? c.instances : []));
}

/** Sends a message from one node to another and returns the answer to the sender. */
function exchange(now: number, from: Membership, to: Membership) {
  const message: ExchangeMessage = from.composeJoinMessage(now);
  const {answer, commands} = to.receive(now, message);
  const {nodeId} = to.ownRecord.address;
  return {
    receiverCommands: commands,
    senderCommands: from.receiveAnswer(now, nodeId, answer),
  };
}

describe('leaving servers announced to a node process that has ended', () => {
  it('are restored to the next process of its node with the first exchange', () => {
    const neighbour = newMembership('n', 5);
    const before = newMembership('vm', 7);
    before.setLeaving(0, ['i-1']);
    exchange(0, before, neighbour);
    const after = newMembership('vm', 8);
    const {senderCommands} = exchange(1_000, after, neighbour);
    expect(leavingInstances(senderCommands)).toEqual(['i-1']);
    expect(after.ownRecord.leaving).toEqual(['i-1']);
  });

  it('are restored also when the clock was set back before the restart', () => {
    const neighbour = newMembership('n', 5);
    const before = newMembership('vm', 7);
    before.setLeaving(0, ['i-1']);
    exchange(0, before, neighbour);
    const after = newMembership('vm', 3);
    exchange(1_000, after, neighbour);
    const {senderCommands} = exchange(2_000, after, neighbour);
    expect(after.ownRecord.leaving).toEqual(['i-1']);
    expect(leavingInstances(senderCommands)).toEqual([]);
  });

  it('are kept by neighbours when the next process does not list them', () => {
    const neighbour = newMembership('n', 5);
    const before = newMembership('vm', 7);
    before.setLeaving(0, ['i-1']);
    exchange(0, before, neighbour);
    const after = newMembership('vm', 8);
    neighbour.receive(1_000, after.composeJoinMessage(1_000));
    expect(neighbour.get('vm')?.leaving).toEqual(['i-1']);
  });
});

describe('tables that differ', () => {
  // The first records of a bucket were sent each time, so that nodes of a large fleet never learned of the others in it.
  it('become equal although a bucket has more records than fit into a message', () => {
    const records = Array.from({length: 600}, (_, i) => ({
      address: addressOf(`vm-${i}`, 1),
      incarnation: 1,
      version: 1,
      status: 'alive' as const,
      servers: [],
    }));
    const peer = newMembership('p', 6, 1_200, newRandom());
    peer.seed(0, records);
    const node = newMembership('n', 5, 1_200, newRandom());
    node.seed(0, records.slice(0, -20));
    for (let now = 0; now < 100_000; now += 1_000) {
      exchange(now, node, peer);
      exchange(now, peer, node);
    }
    expect(node.digest).toBe(peer.digest);
  });
});

describe('messages', () => {
  it('stay within the size limit however much is queued', () => {
    const node = newMembership('n', 5, 1_200);
    const records = Array.from({length: 300}, (_, i) => ({
      address: addressOf(`vm-${i}`, 1),
      incarnation: 1,
      version: 1,
      status: 'alive' as const,
      servers: [],
    }));
    const peer = newMembership('p', 6, 1_200);
    peer.seed(0, records);
    exchange(0, node, peer);
    for (let now = 0; now < 60_000; now += 100) {
      for (const command of node.tick(now)) {
        if (command.type !== 'exchange' || command.to.nodeId !== 'p') continue;
        const {answer} = peer.receive(now, command.message);
        expect(messageBytes(answer)).toBeLessThanOrEqual(1_200);
        node.receiveAnswer(now, 'p', answer);
      }
    }
    expect(node.records().length).toBeGreaterThan(20);
  });
});
