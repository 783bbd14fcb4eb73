/** Contacts of a node in the other failure domains, one for each. */
import type {NodeAddress} from '@goldcresthill/types';
import {hashText} from './member_record';

/** Nodes of a domain that talk to others in each round. */
const CONTACTING_NODES = 8;
/** Different contacts in a row that must fail before a domain counts as cut off. */
const FAILURES_TO_CUT = 3;

interface DomainState {
  /** Nodes of the domain, in an order of this node's own. */
  nodes: string[];
  position: number;
  failures: number;
}

/**
 * Aggregate that tells a lost domain from a lost node: a contact that fails is
 * replaced by another of its domain, and only when several in a row have failed
 * is the domain taken for cut off. Nodes of a cut domain are not declared dead.
 */
export class DomainContacts {
  private readonly domains = new Map<string, DomainState>();
  private cursor = 0;
  private roundCount = 0;

  constructor(private readonly self: NodeAddress) {}

  /** Takes the nodes that are thought to be alive. */
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
   * Nodes to talk to in this round: one that is in order, and all that are in
   * doubt. Nodes of a large domain take turns, as what one of them hears the
   * others soon know.
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

  /** Contacts in domains that can be reached. */
  reachable(): string[] {
    return [...this.domains.values()]
      .filter(state => state.failures < FAILURES_TO_CUT)
      .flatMap(currentContact);
  }

  /** A node of a domain answered or sent something; true if the domain had been cut off. */
  recordSuccess(domain: string): boolean {
    const state = this.domains.get(domain);
    if (state === undefined) return false;
    const wasCut = state.failures >= FAILURES_TO_CUT;
    state.failures = 0;
    return wasCut;
  }

  /** A contact did not answer; true if its domain counts as cut off from now on. */
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
