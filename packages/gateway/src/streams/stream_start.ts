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

  /** Whether an event has been sent, in this answer or an earlier one. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /**
   * Records the first event. The version of its target isn't known yet; until it
   * is, the stream goes on at the same process only.
   */
  recordFirstEvent(target: Target): void {
    this.#hasBegun = true;
    this.#from = { target, atMs: Date.now() };
  }

  /** Records that the entry of the first event's target can be relied on. */
  recordVersion(): StreamVersion | undefined {
    if (this.#from === undefined) return undefined;
    this.#begun = findVersion(this.#from.target);
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
