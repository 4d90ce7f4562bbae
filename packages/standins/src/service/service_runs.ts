/**
 * The run log of the service stand-in, which history checkers also read.
 */

/** One run of an operation, as the service recorded it. */
export interface ServiceRun {
  readonly key: string;
  readonly programId: string;
  readonly operation: string;
  readonly body: string;
  readonly text: string;
  readonly atMs: number;
}

/** The state of an idempotency key. */
export type KeyState =
  | { readonly kind: "running" }
  | { readonly kind: "ended"; readonly run: ServiceRun }
  /** Reported as not run. Later requests with the key are refused. */
  | { readonly kind: "sealed" };

/** The runs of one service. Instances that share data share this object. */
export class ServiceRuns {
  /** Every run, in order. An operation that ran twice has two entries. */
  readonly runs: ServiceRun[] = [];
  readonly #states = new Map<string, KeyState>();

  /** Finds the state of a key. */
  findState(key: string): KeyState | undefined {
    return this.#states.get(key);
  }

  /** Marks a key as running. */
  setRunning(key: string): void {
    this.#states.set(key, { kind: "running" });
  }

  /** Adds a run that took effect and marks its key as ended. */
  add(run: ServiceRun): void {
    this.runs.push(run);
    this.#states.set(run.key, { kind: "ended", run });
  }

  /** Seals a key, so that later requests with it are refused. */
  addSeal(key: string): void {
    this.#states.set(key, { kind: "sealed" });
  }

  /** Counts the runs of a key. */
  countRuns(key: string): number {
    return this.runs.filter((run) => run.key === key).length;
  }
}
