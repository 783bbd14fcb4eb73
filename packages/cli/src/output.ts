/** Formatting and printing of the commands' output. */

/** Formats a table with aligned columns. */
export function formatTable(
  columns: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...rows.map(row => (row[index] ?? '').length)),
  );
  const line = (cells: readonly string[]): string =>
    cells
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd();
  return [line(columns), ...rows.map(line)].join('\n');
}

/** Writes a line to standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Writes a line to standard error. */
export function printError(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Formats microseconds as milliseconds. */
export function formatMs(us: number): string {
  return (us / 1_000).toFixed(2);
}
