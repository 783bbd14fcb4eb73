/** Faults found in an INI document. */

/** One fault: where it is, what stands there and what is allowed. */
export interface ValidationIssue {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly message: string;
}

/** A line for each fault. */
export function formatIssues(issues: readonly ValidationIssue[]): string {
  return issues.map(formatIssue).join('\n');
}

function formatIssue(issue: ValidationIssue): string {
  const place =
    issue.key === '' ? `[${issue.section}]` : `[${issue.section}] ${issue.key}`;
  const value = issue.value === '' ? '' : ` = ${issue.value}`;
  return `${place}${value}: ${issue.message}`;
}
