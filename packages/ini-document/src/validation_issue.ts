/** Validation issues of an INI document and their text form. */

/** One issue: section, key, the value as written, and what is wrong or allowed. */
export interface ValidationIssue {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly message: string;
}

/** Formats issues, one a line. */
export function formatIssues(issues: readonly ValidationIssue[]): string {
  return issues.map(formatIssue).join('\n');
}

function formatIssue(issue: ValidationIssue): string {
  const location =
    issue.key === '' ? `[${issue.section}]` : `[${issue.section}] ${issue.key}`;
  const value = issue.value === '' ? '' : ` = ${issue.value}`;
  return `${location}${value}: ${issue.message}`;
}
