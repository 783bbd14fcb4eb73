/** Faults found in an INI document. */

/** One fault: where it is, what stands there and what is allowed. */
export interface Fault {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly allowed: string;
}

/** A line for each fault. */
export function formatFaults(faults: readonly Fault[]): string {
  return faults.map(formatFault).join('\n');
}

function formatFault(fault: Fault): string {
  const place =
    fault.key === '' ? `[${fault.section}]` : `[${fault.section}] ${fault.key}`;
  const value = fault.value === '' ? '' : ` = ${fault.value}`;
  return `${place}${value}: ${fault.allowed}`;
}
