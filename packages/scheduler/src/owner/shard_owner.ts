/**
 * The owner of one shard: runs the calls of its programs in order and holds
 * their histories, budgets, intents and results. It is the single writer of an
 * epoch.
 */
import {
  type AttemptEvent,
  type AttemptId,
  checkNever,
  type DispatchMessage,
  type Effect,
  type EntryBody,
  type LedgerEntry,
  type OwnerMessage,
  type ProgramView,
  type TargetOrderResult,
  type VmId,
} from "@camphorlock/types";
import { CallRunner } from "./call_runner.ts";
import { MemoryReleaser } from "./memory_releaser.ts";
import { OwnerContext } from "./owner_context.ts";
import type { OwnerOptions } from "./ports.ts";
import { RequestHandler } from "./request_handler.ts";
import { buildProgramView } from "./shard_state.ts";
import { encodeSnapshot } from "./state_snapshot.ts";
import { Waiters } from "./waiters.ts";

/** The inputs of an owner. */
export type OwnerInput =
  | {
    readonly kind: "request";
    readonly from: VmId;
    readonly message: OwnerMessage;
  }
  | { readonly kind: "slot"; readonly message: DispatchMessage }
  | {
    readonly kind: "attempt";
    readonly attemptId: AttemptId;
    readonly event: AttemptEvent;
  }
  | {
    readonly kind: "order_result";
    readonly number: number;
    readonly result: TargetOrderResult;
  }
  | { readonly kind: "durable"; readonly through: number }
  | { readonly kind: "confirmed"; readonly token: number }
  | {
    /** Entries of earlier epochs, in order, before any other input. */
    readonly kind: "recovered";
    readonly snapshot: readonly EntryBody[];
    readonly entries: readonly LedgerEntry[];
    /** Intents that an earlier owner in this process didn't send. */
    readonly unsent?: ReadonlySet<AttemptId>;
  }
  /** The shard is about to move: no attempt is started until `untilMs`. */
  | { readonly kind: "drain"; readonly untilMs: number }
  | { readonly kind: "tick" };

/** The state machine of a shard's owner. */
export class ShardOwner {
  readonly #context: OwnerContext;
  readonly #waiters: Waiters;
  readonly #runner: CallRunner;
  readonly #releaser: MemoryReleaser;
  readonly #requests: RequestHandler;

  constructor(options: OwnerOptions) {
    this.#context = new OwnerContext(options);
    this.#waiters = new Waiters(this.#context);
    this.#runner = new CallRunner(this.#context, this.#waiters);
    this.#releaser = new MemoryReleaser(this.#context);
    this.#requests = new RequestHandler(this.#context, {
      waiters: this.#waiters,
      runner: this.#runner,
      releaser: this.#releaser,
    });
  }

  /** Handles one input and returns the effects to carry out. */
  handle(input: OwnerInput, nowMs: number): Effect[] {
    this.#context.nowMs = nowMs;
    this.#handleInput(input);
    return this.#context.takeEffects();
  }

  /** Lists the programs of the shard as operators see them. */
  listPrograms(): ProgramView[] {
    return [...this.#context.state.programs.values()].map(buildProgramView);
  }

  /** Lists the attempts that have an intent but aren't sent yet. */
  listUnsent(): AttemptId[] {
    return this.#runner.listUnsent();
  }

  /** Counts the attempts whose result only this node can receive. */
  countServiceAttempts(): number {
    return this.#runner.countServiceAttempts();
  }

  /** Encodes the state after every entry appended so far. */
  encodeSnapshot(): Uint8Array[] {
    return encodeSnapshot(this.#context.state);
  }

  #handleInput(input: OwnerInput): void {
    switch (input.kind) {
      case "request":
        return this.#handleRequest(input.from, input.message);
      case "slot":
        return this.#runner.handleSlot(input.message);
      case "attempt":
        return this.#runner.handleAttempt(input.attemptId, input.event);
      case "order_result":
        return this.#releaser.handleResult(input.number, input.result);
      case "durable":
        return this.#context.handleDurable(input.through);
      case "confirmed":
        return this.#context.handleConfirmed(input.token);
      case "recovered":
        return this.#applyRecovered(input);
      case "drain":
        return this.#runner.pauseStarts(input.untilMs);
      case "tick":
        return this.#handleTick();
      default:
        return checkNever(input);
    }
  }

  #handleRequest(entryNode: VmId, message: OwnerMessage): void {
    switch (message.kind) {
      case "owner_request": {
        const { requestId, request } = message;
        return this.#requests.handle({ requestId, entryNode }, request);
      }
      case "caller_gone":
        return this.#waiters.remove(message.requestId);
      case "owner_answer":
      case "not_owner":
        return;
      default:
        return checkNever(message);
    }
  }

  #applyRecovered(
    recovered: Extract<OwnerInput, { kind: "recovered" }>,
  ): void {
    const { state } = this.#context;
    const unsent = recovered.unsent ?? new Set<AttemptId>();
    for (const body of recovered.snapshot) state.apply(body);
    for (const { body, sequence } of recovered.entries) {
      state.apply(body);
      this.#context.recordCharge(sequence, body);
    }
    for (const program of state.programs.values()) {
      for (const call of program.openCalls) {
        this.#runner.addRecovered(program, call, unsent);
      }
      if (program.endReason !== undefined) this.#releaser.add(program);
      this.#runner.startNext(program.spec.programId);
    }
  }

  #handleTick(): void {
    this.#requests.handleTick();
    this.#runner.handleTick();
    this.#releaser.handleTick();
  }
}
