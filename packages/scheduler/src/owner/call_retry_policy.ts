/**
 * Decides whether to retry a call whose attempt failed: within the node's retry
 * budget, the program's budget and the call's time.
 */
import { type AttemptFailure, chooseRetry } from "../retry/mod.ts";
import type { OwnerContext } from "./owner_context.ts";
import { computeRest } from "./program_state.ts";
import { isIdempotent, type RunningCall } from "./running_call.ts";

/** Chooses whether and when a call gets another attempt. */
export class CallRetryPolicy {
  readonly #context: OwnerContext;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Finds the delay before the next attempt; undefined if there is none. */
  findDelayMs(
    running: RunningCall,
    result: AttemptFailure,
  ): number | undefined {
    const { programId } = running.spec;
    const program = this.#context.state.programs.get(programId);
    if (program === undefined || program.endReason !== undefined) {
      return undefined;
    }
    const needsReservation = result.kind === "broken";
    if (needsReservation) {
      const { reservedMicros } = running.state;
      if (computeRest(program) < reservedMicros) return undefined;
    }
    const choice = chooseRetry(result, {
      idempotent: isIdempotent(running),
      attempts: running.attemptsSent,
      leftMs: this.#computeRemainingMs(running),
    }, this.#context.options.retries);
    return choice.kind === "retry" ? choice.afterMs : undefined;
  }

  /** Computes the time left until the program's deadline. */
  #computeRemainingMs(running: RunningCall): number {
    const { deadlineAtMs } = running.spec;
    if (deadlineAtMs === undefined) return Infinity;
    return deadlineAtMs - this.#context.options.getWallClockMs();
  }
}
