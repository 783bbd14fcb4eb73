/** Sizes of calls of one service, by route. */

/** Weight of the newest call in the averages. */
const SMOOTHING_FACTOR = 0.05;
/** Bounds the memory for routes, which come and go with configuration changes. */
const MAX_ROUTES = 1_000;
/** Largest relative size, so that one call cannot make an estimate useless. */
const MAX_RELATIVE_SIZE = 100;
/** Bytes of the heads of a request and its answer, added to the sizes of the bodies. */
const HEAD_BYTES = 1_000;

/** Learns the bytes of calls from their requests and answers. */
export class CallSizes {
  private readonly answers = new Map<string, number>();
  private average: number | undefined;

  /** Records the sizes of the bodies of an answered call, bytes. */
  record(route: string, requestBytes: number, answerBytes: number): void {
    const known = this.answers.get(route);
    if (known === undefined && this.answers.size >= MAX_ROUTES)
      this.answers.clear();
    this.answers.set(route, smooth(known, answerBytes));
    this.average = smooth(this.average, requestBytes + answerBytes);
  }

  /** Size of a call with its expected answer, as a multiple of the average call; 1 while nothing is known. */
  relative(route: string, requestBytes: number): number {
    if (this.average === undefined) return 1;
    const answerBytes = this.answers.get(route) ?? 0;
    const bytes = HEAD_BYTES + requestBytes + answerBytes;
    return Math.min(MAX_RELATIVE_SIZE, bytes / (HEAD_BYTES + this.average));
  }
}

function smooth(average: number | undefined, value: number): number {
  return average === undefined
    ? value
    : average + SMOOTHING_FACTOR * (value - average);
}
