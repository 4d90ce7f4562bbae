/**
 * Releases what engines hold for ended programs, until each engine confirms.
 *
 * What an engine may hold is in the ledger before anything is sent to it, so
 * that a new owner goes on where the earlier one stopped.
 */
import type {
  ProgramId,
  TargetId,
  TargetOrderResult,
} from "@camphorlock/types";
import type { OwnerContext } from "./owner_context.ts";
import type { ProgramState } from "./program_state.ts";

/** An order that waits for its answer. */
interface PendingRelease {
  readonly programId: ProgramId;
  readonly targetId: TargetId;
}

/** Orders releases and repeats them. */
export class MemoryReleaser {
  readonly #context: OwnerContext;
  readonly #ending = new Set<ProgramState>();
  readonly #pending = new Map<number, PendingRelease>();
  #nextNumber = 1;
  #lastRoundMs = 0;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Adds a program that has ended. */
  add(program: ProgramState): void {
    this.#ending.add(program);
    this.#sendReleases(program);
  }

  /** Repeats the orders that weren't confirmed. */
  handleTick(): void {
    const { nowMs, options } = this.#context;
    if (nowMs - this.#lastRoundMs < options.limits.releaseRetryMs) return;
    this.#lastRoundMs = nowMs;
    this.#pending.clear();
    for (const program of this.#ending) this.#sendReleases(program);
  }

  /** Handles a target's answer to an order. */
  handleResult(number: number, result: TargetOrderResult): void {
    const pending = this.#pending.get(number);
    this.#pending.delete(number);
    if (pending === undefined || result.kind !== "done") return;
    this.#appendReleased(pending);
  }

  #sendReleases(program: ProgramState): void {
    if (program.openCalls.size > 0) return;
    if (program.heldBy.size === 0) {
      this.#ending.delete(program);
      return;
    }
    const { programId } = program.spec;
    for (const targetId of [...program.heldBy]) {
      this.#sendRelease({ programId, targetId });
    }
  }

  #sendRelease(release: PendingRelease): void {
    const { programId, targetId } = release;
    if (!this.#context.options.placer.hasTarget(targetId)) {
      return this.#appendReleased(release);
    }
    const number = this.#nextNumber++;
    this.#pending.set(number, release);
    const order = { kind: "release", programId } as const;
    this.#context.addEffect({ kind: "order_target", targetId, number, order });
  }

  #appendReleased(release: PendingRelease): void {
    const { programId, targetId } = release;
    const program = this.#context.state.programs.get(programId);
    if (program === undefined || !program.heldBy.has(targetId)) return;
    this.#context.append([{ kind: "memory_released", programId, targetId }]);
    this.#context.options.placer.recordReleased(programId, targetId);
    if (program.heldBy.size === 0) this.#ending.delete(program);
  }
}
