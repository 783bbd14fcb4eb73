/** Reads INI text into sections and checks a section against a schema. */
import {closest, distance} from 'fastest-levenshtein';
import {parse} from 'ini';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type * as z from 'zod';
import type {Fault} from './fault';

/** Sections of a document: name to key to text. */
export type Sections = ReadonlyMap<string, ReadonlyMap<string, string>>;

/** Outcome of checking one section. */
export type SectionCheck<T> = Result<T, Fault[]>;

const MAX_DOCUMENT_CHARS = 1_000_000;
const NEAR_ENOUGH = 4;

/** Splits a text into sections. Keys outside a section and repeated keys are faults. */
export function readSections(source: string): Result<Sections, Fault[]> {
  if (source.length > MAX_DOCUMENT_CHARS) {
    return err([fault('', '', '', `at most ${MAX_DOCUMENT_CHARS} characters`)]);
  }
  const faults = findRepeats(source);
  const sections = new Map<string, Map<string, string>>();
  // The library nests sections at dots; escaping them keeps names whole.
  for (const [name, body] of Object.entries(parse(escapeDots(source)))) {
    if (typeof body !== 'object' || body === null) {
      faults.push(fault('', name, String(body), 'keys stand within a section'));
      continue;
    }
    sections.set(name, readKeys(name, body as Record<string, unknown>, faults));
  }
  return faults.length > 0 ? err(faults) : ok(sections);
}

/** Checks one section. Unknown keys are faults that name the nearest known key. */
export function checkSection<Shape extends z.ZodRawShape>(
  name: string,
  section: ReadonlyMap<string, string>,
  schema: z.ZodObject<Shape>,
): SectionCheck<z.output<z.ZodObject<Shape>>> {
  const known = Object.keys(schema.shape);
  const faults: Fault[] = [];
  for (const [key, value] of section) {
    if (!known.includes(key)) faults.push(unknownKey(name, key, value, known));
  }
  const parsed = schema.safeParse(Object.fromEntries(section));
  if (parsed.success) return faults.length > 0 ? err(faults) : ok(parsed.data);
  for (const issue of parsed.error.issues) {
    const key = String(issue.path[0] ?? '');
    const field = schema.shape[key] as z.ZodType | undefined;
    const allowed = field === undefined ? issue.message : describe(field);
    faults.push(fault(name, key, section.get(key) ?? '', allowed));
  }
  return err(faults);
}

function describe(field: z.ZodType): string {
  const wrapped = field as {unwrap?: () => z.ZodType};
  return field.description ?? wrapped.unwrap?.().description ?? 'another value';
}

function readKeys(
  section: string,
  body: Record<string, unknown>,
  faults: Fault[],
): Map<string, string> {
  const keys = new Map<string, string>();
  for (const [key, value] of Object.entries(body)) {
    if (typeof value === 'object' && value !== null) {
      faults.push(fault(section, key, '', 'one plain value'));
      continue;
    }
    keys.set(key, String(value).trim());
  }
  return keys;
}

function findRepeats(source: string): Fault[] {
  const faults: Fault[] = [];
  const seen = new Set<string>();
  let section = '';
  for (const line of source.split(/\r?\n/)) {
    const header = /^\s*\[([^\]]*)\]\s*$/.exec(line);
    if (header !== null) section = (header[1] ?? '').trim();
    const key =
      header === null ? /^\s*([^;#=\s][^=]*?)\s*=/.exec(line)?.[1] : '';
    if (key === undefined) continue;
    const place = `${section}\n${key}`;
    if (seen.has(place)) faults.push(fault(section, key, '', 'stands twice'));
    seen.add(place);
  }
  return faults;
}

function escapeDots(source: string): string {
  return source.replace(/^\s*\[[^\]]*\]\s*$/gm, header =>
    header.replaceAll('.', '\\.'),
  );
}

function unknownKey(
  section: string,
  key: string,
  value: string,
  known: readonly string[],
): Fault {
  const nearest = closest(key, [...known]);
  const hint =
    distance(key, nearest) <= NEAR_ENOUGH ? `; did you mean ${nearest}?` : '';
  return fault(section, key, value, `no such key${hint}`);
}

function fault(
  section: string,
  key: string,
  value: string,
  allowed: string,
): Fault {
  return {section, key, value, allowed};
}
