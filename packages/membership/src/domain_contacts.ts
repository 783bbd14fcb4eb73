/** Contacts of a node in the other failure domains, one for each. */
import type {NodeAddress} from '@goldcresthill/types';
import {hashText} from './member_record';

/** Nodes of a domain that talk to others in each round. */
const TALKERS = 8;
/** Different contacts in a row that must fail before a domain counts as cut off. */
const FAILURES_TO_CUT = 3;

interface Contact {
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
  private readonly contacts = new Map<string, Contact>();
  private turn = 0;
  private rounds = 0;

  constructor(private readonly self: NodeAddress) {}

  /** Takes the nodes that are thought to be alive. */
  update(all: readonly NodeAddress[]): void {
    const byDomain = new Map<string, string[]>();
    for (const node of all) {
      if (node.domain === this.self.domain) continue;
      const list = byDomain.get(node.domain) ?? [];
      list.push(node.nodeId);
      byDomain.set(node.domain, list);
    }
    for (const [domain, nodes] of byDomain) this.setNodes(domain, nodes);
    for (const domain of [...this.contacts.keys()]) {
      if (!byDomain.has(domain)) this.contacts.delete(domain);
    }
  }

  /**
   * Nodes to talk to in this round: one that is in order, and all that are in
   * doubt. Nodes of a large domain take turns, as what one of them hears the
   * others soon know.
   */
  due(ownDomainNodes: number): string[] {
    const entries = [...this.contacts.values()];
    if (entries.length === 0) return [];
    const every = Math.max(1, Math.round(ownDomainNodes / TALKERS));
    if (this.rounds++ % every !== 0)
      return currentOfAll(entries.filter(isInDoubt));
    const next = entries[this.turn++ % entries.length];
    return currentOfAll(entries.filter(c => c === next || isInDoubt(c)));
  }

  /** Contacts in domains that can be reached. */
  reachable(): string[] {
    return [...this.contacts.values()]
      .filter(contact => contact.failures < FAILURES_TO_CUT)
      .flatMap(currentOf);
  }

  /** A node of a domain answered or sent something; true if the domain had been cut off. */
  heard(domain: string): boolean {
    const contact = this.contacts.get(domain);
    if (contact === undefined) return false;
    const wasCut = contact.failures >= FAILURES_TO_CUT;
    contact.failures = 0;
    return wasCut;
  }

  /** A contact did not answer; true if its domain counts as cut off from now on. */
  missed(domain: string, nodeId: string): boolean {
    const contact = this.contacts.get(domain);
    if (contact === undefined || currentOf(contact)[0] !== nodeId) return false;
    contact.position++;
    contact.failures++;
    return contact.failures === FAILURES_TO_CUT;
  }

  /** Domains that count as cut off. */
  get cutDomains(): string[] {
    return [...this.contacts]
      .filter(([, contact]) => contact.failures >= FAILURES_TO_CUT)
      .map(([domain]) => domain);
  }

  private setNodes(domain: string, nodes: string[]): void {
    const weights = new Map(
      nodes.map(n => [n, hashText(`${this.self.nodeId}|${n}`)]),
    );
    nodes.sort((a, b) => (weights.get(b) ?? 0) - (weights.get(a) ?? 0));
    const known = this.contacts.get(domain);
    if (known === undefined) {
      this.contacts.set(domain, {nodes, position: 0, failures: 0});
      return;
    }
    const [current] = currentOf(known);
    known.nodes = nodes;
    known.position = Math.max(
      0,
      current === undefined ? 0 : nodes.indexOf(current),
    );
  }
}

function isInDoubt({failures}: Contact): boolean {
  return failures > 0;
}

function currentOfAll(contacts: readonly Contact[]): string[] {
  return contacts.flatMap(currentOf);
}

function currentOf(contact: Contact): string[] {
  const node = contact.nodes[contact.position % contact.nodes.length];
  return node === undefined ? [] : [node];
}
