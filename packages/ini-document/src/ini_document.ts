/** Parses INI text into sections and validates sections against schemas. */
import {closest, distance} from 'fastest-levenshtein';
import {parse} from 'ini';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type * as z from 'zod';
import type {ValidationIssue} from './validation_issue';

/** Sections of a document by name; values by key, as written. */
export type Sections = ReadonlyMap<string, ReadonlyMap<string, string>>;

/** Result of validating one section. */
export type SectionResult<T> = Result<T, ValidationIssue[]>;

const MAX_DOCUMENT_CHARS = 1_000_000;
const MAX_SUGGESTION_DISTANCE = 4;

/** Parses a document into sections. Keys outside a section and duplicate keys are issues. */
export function parseSections(
  source: string,
): Result<Sections, ValidationIssue[]> {
  if (source.length > MAX_DOCUMENT_CHARS) {
    return err([
      createIssue('', '', '', `at most ${MAX_DOCUMENT_CHARS} characters`),
    ]);
  }
  const issues = findDuplicateKeys(source);
  const sections = new Map<string, Map<string, string>>();
  // The ini package nests sections at dots; escaping the dots keeps section names whole.
  for (const [name, body] of Object.entries(parse(escapeDots(source)))) {
    if (typeof body !== 'object' || body === null) {
      issues.push(
        createIssue('', name, String(body), 'keys stand within a section'),
      );
      continue;
    }
    sections.set(
      name,
      parseKeys(name, body as Record<string, unknown>, issues),
    );
  }
  return issues.length > 0 ? err(issues) : ok(sections);
}

/** Validates one section. Unknown keys are issues that suggest the most similar known key. */
export function validateSection<Shape extends z.ZodRawShape>(
  name: string,
  section: ReadonlyMap<string, string>,
  schema: z.ZodObject<Shape>,
): SectionResult<z.output<z.ZodObject<Shape>>> {
  const knownKeys = Object.keys(schema.shape);
  const issues: ValidationIssue[] = [];
  for (const [key, value] of section) {
    if (!knownKeys.includes(key))
      issues.push(createUnknownKeyIssue(name, key, value, knownKeys));
  }
  const parsed = schema.safeParse(Object.fromEntries(section));
  if (parsed.success) return issues.length > 0 ? err(issues) : ok(parsed.data);
  for (const issue of parsed.error.issues) {
    const key = String(issue.path[0] ?? '');
    const field = schema.shape[key] as z.ZodType | undefined;
    const message = field === undefined ? issue.message : describeField(field);
    issues.push(createIssue(name, key, section.get(key) ?? '', message));
  }
  return err(issues);
}

function describeField(field: z.ZodType): string {
  const wrapped = field as {unwrap?: () => z.ZodType};
  return field.description ?? wrapped.unwrap?.().description ?? 'another value';
}

function parseKeys(
  section: string,
  body: Record<string, unknown>,
  issues: ValidationIssue[],
): Map<string, string> {
  const keys = new Map<string, string>();
  for (const [key, value] of Object.entries(body)) {
    if (typeof value === 'object' && value !== null) {
      issues.push(createIssue(section, key, '', 'one plain value'));
      continue;
    }
    keys.set(key, String(value).trim());
  }
  return keys;
}

function findDuplicateKeys(source: string): ValidationIssue[] {
  const issues: ValidationIssue[] = [];
  const seen = new Set<string>();
  let currentSection = '';
  for (const line of source.split(/\r?\n/)) {
    const header = /^\s*\[([^\]]*)\]\s*$/.exec(line);
    if (header !== null) currentSection = (header[1] ?? '').trim();
    const key =
      header === null ? /^\s*([^;#=\s][^=]*?)\s*=/.exec(line)?.[1] : '';
    if (key === undefined) continue;
    const qualifiedKey = `${currentSection}\n${key}`;
    if (seen.has(qualifiedKey))
      issues.push(createIssue(currentSection, key, '', 'stands twice'));
    seen.add(qualifiedKey);
  }
  return issues;
}

function escapeDots(source: string): string {
  return source.replace(/^\s*\[[^\]]*\]\s*$/gm, header =>
    header.replaceAll('.', '\\.'),
  );
}

function createUnknownKeyIssue(
  section: string,
  key: string,
  value: string,
  knownKeys: readonly string[],
): ValidationIssue {
  const nearest = closest(key, [...knownKeys]);
  const hint =
    distance(key, nearest) <= MAX_SUGGESTION_DISTANCE
      ? `; did you mean ${nearest}?`
      : '';
  return createIssue(section, key, value, `no such key${hint}`);
}

function createIssue(
  section: string,
  key: string,
  value: string,
  message: string,
): ValidationIssue {
  return {section, key, value, message};
}
