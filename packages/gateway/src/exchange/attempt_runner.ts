/**
 * Runs the attempts of one request, one at a time, and records what each shows
 * of its target.
 */
import type { FailedAttempt } from "../decisions/next_step.ts";
import { recordResponse } from "../decisions/target_table.ts";
import type { RunningAttempt } from "./buffered_attempt.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";
import { type AttemptStart, startAttempt } from "./start_attempt.ts";
import type { StreamAttemptResult } from "./stream_attempt.ts";

/** The attempts of one request. */
export class AttemptRunner {
  readonly #dependencies: ExchangeDependencies;
  #running: RunningAttempt<StreamAttemptResult> | undefined;
  /** Whether the running attempt is on a direct connection to its target. */
  #isDirect = false;
  #endWait: () => void = () => {};

  constructor(dependencies: ExchangeDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether an attempt runs on a direct connection to its target. */
  get isDirect(): boolean {
    return this.#isDirect;
  }

  /** Runs an attempt until its result, or until `stop`. Never rejects. */
  async run(
    start: AttemptStart,
    isRequestStopped: () => boolean,
  ): Promise<StreamAttemptResult> {
    const { crashes, blocked, ways, placement } = this.#dependencies;
    const { entry, attempts: { isCrashCandidate, choice }, accepted } = start;
    const { target } = entry;
    const work = choice?.entry === entry ? choice.work : undefined;
    const { fields: { requestId }, fingerprint } = accepted;
    this.#isDirect = ways.paths.isDirect(target);
    const attempt = startAttempt(this.#dependencies, start);
    this.#running = attempt;
    crashes.recordStart(target, requestId, fingerprint);
    entry.recordAttempt(requestId, performance.now(), {
      isCrashCandidate,
      ...work === undefined ? {} : { work },
    });
    placement.recordStart(accepted, entry, performance.now());
    ways.monitor.recordStart(attempt, performance.now());
    const stopped = new Promise<FailedAttempt>((resolve) => {
      this.#endWait = () => resolve({ kind: "broken", detail: "stopped" });
    });
    const result = await Promise.race([attempt.result, stopped]);
    const isStopped = isRequestStopped();
    const nowMs = performance.now();
    const running = entry.recordAttemptEnd(requestId, nowMs, {
      isCrashCandidate,
    });
    if (running !== undefined && isStopped) {
      placement.learner.recordSilence(entry, running, nowMs);
    } else if (running !== undefined) {
      placement.learner.recordEnd(
        accepted,
        { entry, running, end: result },
        nowMs,
      );
    }
    ways.monitor.recordEnd(attempt);
    this.#isDirect = false;
    if (result.kind === "broken" && !isStopped) {
      const hasEnded = await crashes.recordBreak(target, requestId);
      return hasEnded ? { ...result, kind: "crashed" } : result;
    }
    crashes.recordEnd(target, requestId);
    if (result.kind === "completed" || result.kind === "answered") {
      recordResponse(entry);
      blocked.recordCompleted(fingerprint, performance.now());
    }
    return result;
  }

  /**
   * Ends the wait for the running attempt, which is cancelled if asked to.
   * Resolves once the attempt has ended at its target.
   */
  async stop(
    { isCancelled }: { readonly isCancelled: boolean },
  ): Promise<void> {
    if (isCancelled) this.#running?.cancel();
    this.#endWait();
    if (!isCancelled) await this.#running?.result;
  }
}
