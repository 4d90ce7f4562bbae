/**
 * The requests of this gateway that run at each incarnation of a target, and
 * those whose connections it has just broken off. When an incarnation has
 * ended, these are the requests that may have ended it.
 */
import type { Fingerprint } from "../model/request_fingerprint.ts";
import type { Target } from "../model/target.ts";
import { getIncarnation } from "../decisions/target_table.ts";

/**
 * A process that ends closes its connections at once; what it broke off before
 * that had another reason.
 */
const BREAK_WINDOW_MS = 1_000;

interface RunningAt {
  /** Fingerprints by request. */
  readonly running: Map<string, Fingerprint>;
  readonly broken: {
    readonly fingerprint: Fingerprint;
    readonly atMs: number;
  }[];
}

/** The requests at each incarnation of a target. */
export class RunningRequests {
  readonly #byIncarnation = new Map<string, RunningAt>();

  /** Records that a request was sent to a target. */
  add(target: Target, requestId: string, fingerprint: Fingerprint): void {
    const incarnation = getIncarnation(target);
    const at = this.#byIncarnation.get(incarnation) ??
      { running: new Map(), broken: [] };
    this.#byIncarnation.set(incarnation, at);
    at.running.set(requestId, fingerprint);
  }

  /** Records that a request no longer runs; `isBroken` if it was broken off. */
  remove(
    target: Target,
    requestId: string,
    { isBroken, nowMs }: { readonly isBroken: boolean; readonly nowMs: number },
  ): void {
    const incarnation = getIncarnation(target);
    const at = this.#byIncarnation.get(incarnation);
    const fingerprint = at?.running.get(requestId);
    if (at === undefined || fingerprint === undefined) return;
    at.running.delete(requestId);
    if (isBroken) at.broken.push({ fingerprint, atMs: nowMs });
    removeOld(at, nowMs);
    const isUnused = at.running.size === 0 && at.broken.length === 0;
    if (isUnused) this.#byIncarnation.delete(incarnation);
  }

  /** Lists what ran at an incarnation when it ended, each request once. */
  listAtEnd(target: Target, nowMs: number): Fingerprint[] {
    const at = this.#byIncarnation.get(getIncarnation(target));
    if (at === undefined) return [];
    removeOld(at, nowMs);
    const all = [
      ...at.broken.map(({ fingerprint }) => fingerprint),
      ...at.running.values(),
    ];
    return [...new Map(all.map((each) => [each.request, each])).values()];
  }

  /** Forgets what was broken off a while ago. */
  removeExpired(nowMs: number): void {
    for (const [incarnation, at] of this.#byIncarnation) {
      removeOld(at, nowMs);
      const isUnused = at.running.size === 0 && at.broken.length === 0;
      if (isUnused) this.#byIncarnation.delete(incarnation);
    }
  }
}

function removeOld({ broken }: RunningAt, nowMs: number): void {
  while (broken[0] !== undefined && nowMs - broken[0].atMs > BREAK_WINDOW_MS) {
    broken.shift();
  }
}
