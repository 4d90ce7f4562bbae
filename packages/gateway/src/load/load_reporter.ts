/**
 * Collects what this gateway reports of the targets that it uses.
 */
import type { TrackedTarget } from "../decisions/target_table.ts";
import type { WorkModel } from "../placement/work_model.ts";
import type { PartReport, TargetReport } from "./load_messages.ts";

/** After its last request, a gateway reports this long, so as to get a view. */
const IDLE_REPORT_MS = 2_000;

/** The load that this gateway causes. */
export class LoadReporter {
  readonly #model: WorkModel;
  /** Targets with requests since the last report. */
  readonly #active = new Map<string, TrackedTarget>();
  #usedAtMs = Number.NEGATIVE_INFINITY;

  constructor(model: WorkModel) {
    this.#model = model;
  }

  /** Records that an attempt starts at a target. */
  recordStart(entry: TrackedTarget, nowMs: number): void {
    this.#usedAtMs = nowMs;
    this.#active.set(entry.target.id, entry);
  }

  /** Whether there is something to report, or a view is of use. */
  hasReport(nowMs: number): boolean {
    return this.#active.size > 0 || nowMs - this.#usedAtMs < IDLE_REPORT_MS;
  }

  /** Takes the report; targets without requests are left out the next time. */
  take(nowMs: number): TargetReport[] {
    const speeds = this.#model.takeUnreported();
    return [...this.#active.values()].map((entry) => {
      const { target: { id }, running, held } = entry;
      if (running === 0) this.#active.delete(id);
      const { samples = 0, taken = 0 } = speeds.get(id) ?? {};
      const sent = held.takeSent();
      const parts: PartReport[] = [];
      for (const [part, { tokens }] of held.parts) {
        parts.push([part, tokens, 1]);
        sent.parts.delete(part);
      }
      for (const [part, tokens] of sent.parts) parts.push([part, tokens, 0]);
      return [
        id,
        running,
        Math.round(held.computeRemainingMs(nowMs)),
        held.ownTokens,
        sent.tokens,
        Math.round(samples * 100),
        Math.round(taken * 100),
        parts,
      ];
    });
  }
}
