/**
 * The start of one request's stream: which version began it, and so where it
 * may go on.
 */
import {
  getIncarnation,
  type TargetTable,
  type TrackedTarget,
} from "../decisions/target_table.ts";
import {
  canContinue,
  findVersion,
  type StreamVersion,
} from "../model/stream_version.ts";
import type { Target } from "../model/target.ts";

/** Clocks of two VMs differ by less, unless one of them is wrong. */
const CLOCK_DIFFERENCE_MS = 2_000;

/** The start of a stream. */
export class StreamStart {
  #begun: StreamVersion | undefined;
  #hasBegun: boolean;
  /** The target that sent the first event, and when, by the wall clock. */
  #from: { readonly target: Target; readonly atMs: number } | undefined;

  /** `begun` is the version of a stream that the caller takes up. */
  constructor(begun?: StreamVersion) {
    this.#begun = begun;
    this.#hasBegun = begun !== undefined;
  }

  /** Records the first event; returns the version that sent it, if known. */
  recordFirstEvent(target: Target): StreamVersion | undefined {
    if (this.#hasBegun) return undefined;
    this.#hasBegun = true;
    this.#begun = findVersion(target);
    this.#from = { target, atMs: Date.now() };
    return this.#begun;
  }

  /** Keeps the targets at which the stream may go on; all before it began. */
  filterTargets<T extends Pick<TrackedTarget, "target">>(
    targets: readonly T[],
    table: Pick<TargetTable, "find">,
  ): T[] {
    if (!this.#hasBegun) return [...targets];
    const begun = this.#begun;
    if (this.#isDoubtful(table)) return [];
    return targets.filter(({ target }) =>
      begun === undefined
        ? this.#isSameIncarnation(target)
        : canContinue(begun, target)
    );
  }

  /** Whether a target without a version is the one that began the stream. */
  #isSameIncarnation(target: Target): boolean {
    return this.#from !== undefined &&
      getIncarnation(this.#from.target) === getIncarnation(target);
  }

  /**
   * Whether the target may have started again, with another version, before it
   * sent the first event: its entry was late then.
   */
  #isDoubtful(table: Pick<TargetTable, "find">): boolean {
    if (this.#from === undefined) return false;
    const { target, atMs } = this.#from;
    const current = table.find(target.id)?.target;
    return current !== undefined &&
      current.startedAtMs !== target.startedAtMs &&
      current.version !== target.version &&
      current.startedAtMs < atMs + CLOCK_DIFFERENCE_MS;
  }
}
