/**
 * Releases the cache memory that engines hold for ended programs; repeats each
 * order until the engine confirms it.
 *
 * The ledger lists an engine before any attempt is sent to it, so that a new
 * owner can continue the releases of the earlier one.
 */
import type {
  ProgramId,
  TargetId,
  TargetOrderResult,
} from "@camphorlock/types";
import type { OwnerContext } from "./owner_context.ts";
import type { ProgramState } from "./program_state.ts";

/** A release order without a result. */
interface PendingRelease {
  readonly programId: ProgramId;
  readonly targetId: TargetId;
}

/** Sends release orders and repeats them until confirmed. */
export class MemoryReleaser {
  readonly #context: OwnerContext;
  readonly #ended = new Set<ProgramState>();
  readonly #pending = new Map<number, PendingRelease>();
  #nextNumber = 1;
  #lastRetryMs = 0;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Adds an ended program and orders its releases. */
  add(program: ProgramState): void {
    this.#ended.add(program);
    this.#sendReleases(program);
  }

  /** Repeats the unconfirmed orders, once per retry period. */
  handleTick(): void {
    const { nowMs, options } = this.#context;
    if (nowMs - this.#lastRetryMs < options.limits.releaseRetryMs) return;
    this.#lastRetryMs = nowMs;
    this.#pending.clear();
    for (const program of this.#ended) this.#sendReleases(program);
  }

  /** Handles a target's result of an order. */
  handleResult(number: number, result: TargetOrderResult): void {
    const pending = this.#pending.get(number);
    this.#pending.delete(number);
    if (pending === undefined || result.kind !== "done") return;
    this.#appendReleased(pending);
  }

  #sendReleases(program: ProgramState): void {
    if (program.openCalls.size > 0) return;
    if (program.heldBy.size === 0) {
      this.#ended.delete(program);
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
    if (program.heldBy.size === 0) this.#ended.delete(program);
  }
}
