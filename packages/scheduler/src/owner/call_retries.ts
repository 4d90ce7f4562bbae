/**
 * Whether a call whose attempt failed is tried again: within the node's retry
 * budget, the program's budget and the call's time.
 */
import { type AttemptResult, chooseRetry } from "../retry/mod.ts";
import type { OwnerContext } from "./owner_context.ts";
import { computeRest } from "./program_state.ts";
import { isIdempotent, type RunningCall } from "./running_call.ts";

/** Chooses between a new attempt and an outcome. */
export class CallRetries {
  readonly #context: OwnerContext;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Finds the delay of the next attempt; none when there is no next one. */
  findDelay(
    running: RunningCall,
    result: AttemptResult,
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
      leftMs: this.#computeLeft(running),
    }, this.#context.options.retries);
    return choice.kind === "retry" ? choice.afterMs : undefined;
  }

  /** Computes the time left until the program's deadline. */
  #computeLeft(running: RunningCall): number {
    const { deadlineAtMs } = running.spec;
    if (deadlineAtMs === undefined) return Infinity;
    return deadlineAtMs - this.#context.options.getWallClockMs();
  }
}
