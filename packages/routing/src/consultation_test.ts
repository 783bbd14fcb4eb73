import type {LoadReport} from '@goldcresthill/types';
import {beforeEach, describe, expect, it} from 'vitest';
import {Consultation} from './consultation';
import type {ConsultationCommand} from './consultation';
import {ServerView} from './server_view';

function viewOf(nodeId: string, domain: string): ServerView {
  const place = {id: `${nodeId}/s`, nodeId, domain, networkUs: 500, slots: 10};
  return new ServerView(place);
}

function reportOf(change: Partial<LoadReport> = {}): LoadReport {
  const idle = {inFlight: 1, queued: 0, limit: 10, serviceUs: 0, slowdown: 1};
  return {...idle, state: 'up', ...change};
}

let near: ServerView[];
let far: ServerView[];

beforeEach(() => {
  near = Array.from({length: 8}, (_, i) => viewOf(`near-${i}`, 'a'));
  far = Array.from({length: 8}, (_, i) => viewOf(`far-${i}`, 'b'));
});

function consult(candidates: readonly ServerView[], owner = 'gateway') {
  const random = () => 0;
  return new Consultation({candidates, owner, domain: 'a', random});
}

function asked(command: ConsultationCommand | undefined): string[] {
  return command?.type === 'ask' ? command.views.map(v => v.nodeId) : [];
}

describe('Consultation', () => {
  it('asks as many as it needs and not more, however large the fleet is', () => {
    const many = Array.from({length: 900}, (_, i) => viewOf(`n-${i}`, 'a'));
    expect(asked(consult([...many, ...far]).begin(0))).toHaveLength(2);
  });

  it('asks in the own failure domain first', () => {
    const nodes = asked(consult([...far, ...near]).begin(0));
    expect(nodes.every(node => node.startsWith('near'))).toBe(true);
  });

  it('always asks the server of its own VM', () => {
    const nodes = asked(consult([...near, ...far], 'near-6').begin(0));
    expect(nodes[0]).toBe('near-6');
  });

  it('fills up with servers elsewhere where the own domain has few', () => {
    const nodes = asked(consult([...near.slice(0, 1), ...far]).begin(0));
    expect(nodes.filter(node => node.startsWith('far'))).toHaveLength(1);
  });

  it('chooses at once when an idle server has answered', () => {
    const consultation = consult([...near, ...far]);
    consultation.begin(0);
    const [first] = near;
    first?.learn(1, reportOf());
    expect(first && consultation.told(1, first)).toEqual({type: 'choose'});
  });

  it.each([
    ['full', reportOf({inFlight: 10})],
    ['in a slow spell', reportOf({slowdown: 4})],
    ['leaving', reportOf({state: 'draining'})],
  ])(
    'asks more, and then elsewhere, when those that were asked are %s',
    (_name, report) => {
      const consultation = consult([...near, ...far]);
      let command: ConsultationCommand | undefined = consultation.begin(0);
      const rounds: string[][] = [];
      while (command?.type === 'ask') {
        rounds.push(asked(command));
        let next: ConsultationCommand | undefined;
        for (const view of command.views) {
          view.learn(1, report);
          next = consultation.told(1, view);
        }
        command = next;
      }
      expect(command).toEqual({type: 'choose'});
      expect(rounds.map(nodes => nodes.length)).toEqual([2, 4, 5]);
      expect(rounds.slice(0, 2).flat().join()).not.toContain('far');
      expect(rounds.at(-1)?.join()).toContain('far');
    },
  );

  it('ends its wait without those that are silent, and sets them aside', () => {
    const consultation = consult(near);
    const command = consultation.begin(0);
    const views = command.type === 'ask' ? command.views : [];
    const [sound, silent] = views;
    sound?.learn(1, reportOf({inFlight: 8}));
    if (sound !== undefined) consultation.told(1, sound);
    expect(consultation.timeout(8)).toEqual({type: 'choose'});
    expect([sound?.isSetAside(9), silent?.isSetAside(9)]).toEqual([
      false,
      true,
    ]);
  });

  it('sets nobody aside when nobody answers, as the own VM may be slow', () => {
    const consultation = consult(near);
    const command = consultation.begin(0);
    const views = command.type === 'ask' ? command.views : [];
    consultation.timeout(8);
    expect(views.some(view => view.isSetAside(9))).toBe(false);
  });

  it('waits longer for a first answer when nobody has answered, and takes it', () => {
    const consultation = consult([...near, ...far]);
    const rounds = [consultation.begin(0)];
    for (let now = 8; now <= 24; now += 8)
      rounds.push(consultation.timeout(now));
    expect(rounds.map(command => asked(command).length)).toEqual([2, 4, 5, 0]);
    expect(rounds.at(-1)).toMatchObject({type: 'ask', waitMs: 60});
    const [first] = rounds;
    const view = first?.type === 'ask' ? first.views[0] : undefined;
    view?.learn(40, reportOf({inFlight: 9}));
    expect(view && consultation.told(40, view)).toEqual({type: 'choose'});
  });

  it('asks nobody where it knows enough', () => {
    const consultation = consult(near);
    for (const view of near) view.learn(100, reportOf(), 0);
    expect(consultation.begin(105)).toEqual({type: 'choose'});
  });
});
