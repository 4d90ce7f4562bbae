/**
 * What the service stand-in ran, for itself and for history checkers.
 */

/** One run of an operation, as the service itself saw it. */
export interface ServiceRun {
  readonly key: string;
  readonly programId: string;
  readonly operation: string;
  readonly body: string;
  readonly text: string;
  readonly atMs: number;
}

/** What became of a key. */
export type KeyState =
  | { readonly kind: "running" }
  | { readonly kind: "ended"; readonly run: ServiceRun }
  /** Told as not run; refused from then on. */
  | { readonly kind: "sealed" };

/** The runs of one service, shared by its instances where they share data. */
export class ServiceRuns {
  /** Every run in order; a doubled run is here twice. */
  readonly runs: ServiceRun[] = [];
  readonly #states = new Map<string, KeyState>();

  /** Finds what became of a key. */
  findState(key: string): KeyState | undefined {
    return this.#states.get(key);
  }

  /** Notes that a run began. */
  setRunning(key: string): void {
    this.#states.set(key, { kind: "running" });
  }

  /** Notes that a run took effect. */
  add(run: ServiceRun): void {
    this.runs.push(run);
    this.#states.set(run.key, { kind: "ended", run });
  }

  /** Refuses an unseen key from now on. */
  addSeal(key: string): void {
    this.#states.set(key, { kind: "sealed" });
  }

  /** Counts the runs of a key. */
  countRuns(key: string): number {
    return this.runs.filter((run) => run.key === key).length;
  }
}
