/** Tracks one contact node in each of the other failure domains. */
import type {NodeAddress} from '@goldcresthill/types';
import {hashText} from './member_record';

/** Approximate number of nodes of a domain that contact another domain in each round. */
const CONTACTING_NODES = 8;
/** Consecutive failures, each of a different contact, after which a domain counts as cut off. */
const FAILURES_TO_CUT = 3;

interface DomainState {
  /** Nodes of the domain, in an order specific to this node. */
  nodes: string[];
  /** Index of the current contact, modulo the number of nodes. */
  position: number;
  failures: number;
}

/**
 * Aggregate that distinguishes an unreachable domain from an unreachable node. A
 * contact that fails is replaced by another node of its domain; the domain counts
 * as cut off only after several consecutive failures. Nodes of a domain that is
 * cut off are not declared dead.
 */
export class DomainContacts {
  private readonly domains = new Map<string, DomainState>();
  private cursor = 0;
  private roundCount = 0;

  constructor(private readonly self: NodeAddress) {}

  /** Replaces the nodes considered alive, of all domains; current contacts are kept. */
  update(alive: readonly NodeAddress[]): void {
    const byDomain = new Map<string, string[]>();
    for (const node of alive) {
      if (node.domain === this.self.domain) continue;
      const list = byDomain.get(node.domain) ?? [];
      list.push(node.nodeId);
      byDomain.set(node.domain, list);
    }
    for (const [domain, nodes] of byDomain) this.setNodes(domain, nodes);
    for (const domain of [...this.domains.keys()]) {
      if (!byDomain.has(domain)) this.domains.delete(domain);
    }
  }

  /**
   * Contacts to exchange with in this round: the next in rotation, and those in
   * domains with a failure since their last message. In a large domain, a node
   * contacts the next only every few rounds, because gossip within the domain
   * soon shares what one node learns.
   */
  dueContacts(ownDomainSize: number): string[] {
    const states = [...this.domains.values()];
    if (states.length === 0) return [];
    const roundInterval = Math.max(
      1,
      Math.round(ownDomainSize / CONTACTING_NODES),
    );
    if (this.roundCount++ % roundInterval !== 0)
      return currentContacts(states.filter(hasFailures));
    const next = states[this.cursor++ % states.length];
    return currentContacts(states.filter(c => c === next || hasFailures(c)));
  }

  /** Current contacts of all domains that are not cut off. */
  reachable(): string[] {
    return [...this.domains.values()]
      .filter(state => state.failures < FAILURES_TO_CUT)
      .flatMap(currentContact);
  }

  /** Records a message from a domain; returns true if the domain was cut off until now. */
  recordSuccess(domain: string): boolean {
    const state = this.domains.get(domain);
    if (state === undefined) return false;
    const wasCut = state.failures >= FAILURES_TO_CUT;
    state.failures = 0;
    return wasCut;
  }

  /** Records that a contact did not answer; returns true if its domain counts as cut off from now on. */
  recordFailure(domain: string, nodeId: string): boolean {
    const state = this.domains.get(domain);
    if (state === undefined || currentContact(state)[0] !== nodeId)
      return false;
    state.position++;
    state.failures++;
    return state.failures === FAILURES_TO_CUT;
  }

  /** Domains that count as cut off. */
  get cutDomains(): string[] {
    return [...this.domains]
      .filter(([, state]) => state.failures >= FAILURES_TO_CUT)
      .map(([domain]) => domain);
  }

  private setNodes(domain: string, nodes: string[]): void {
    const weights = new Map(
      nodes.map(n => [n, hashText(`${this.self.nodeId}|${n}`)]),
    );
    nodes.sort((a, b) => (weights.get(b) ?? 0) - (weights.get(a) ?? 0));
    const known = this.domains.get(domain);
    if (known === undefined) {
      this.domains.set(domain, {nodes, position: 0, failures: 0});
      return;
    }
    const [current] = currentContact(known);
    known.nodes = nodes;
    known.position = Math.max(
      0,
      current === undefined ? 0 : nodes.indexOf(current),
    );
  }
}

function hasFailures({failures}: DomainState): boolean {
  return failures > 0;
}

function currentContacts(states: readonly DomainState[]): string[] {
  return states.flatMap(currentContact);
}

function currentContact(state: DomainState): string[] {
  const node = state.nodes[state.position % state.nodes.length];
  return node === undefined ? [] : [node];
}
