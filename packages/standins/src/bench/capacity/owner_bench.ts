/**
 * Measures the CPU time and memory of an owner by number of programs.
 */
import {
  DEFAULT_OWNER_LIMITS,
  DEFAULT_RETRY_SETTINGS,
  EMPTY_CONFIGURATION,
  type OwnerInput,
  type OwnerLedger,
  RandomSource,
  RetryBudget,
  ShardOwner,
} from "@camphorlock/scheduler";
import {
  type Call,
  type CallerRequest,
  type Effect,
  formatProgramId,
  type ProgramId,
} from "@camphorlock/types";
import { ok } from "neverthrow";

/** The number and size of the programs, and readers of process usage. */
export interface OwnerBenchOptions {
  readonly programs: number;
  readonly callsPerProgram: number;
  /** Text events of each model response. */
  readonly textEvents: number;
  /** Characters of each text event. */
  readonly eventLength: number;
  /** Reads the CPU time, in milliseconds. */
  readonly readCpuMs: () => number;
  /** Collects garbage and reads the heap in use, in bytes. */
  readonly readHeapBytes: () => number;
}

/** Measurements at one size. */
export interface OwnerBenchResult {
  readonly programs: number;
  readonly calls: number;
  readonly cpuUsPerCall: number;
  readonly heapBytesPerProgram: number;
  /** The same without the characters of prompts and responses. */
  readonly heapBytesPerProgramBesideText: number;
  readonly entriesPerCall: number;
  readonly messagesPerCall: number;
}

const US_PER_MS = 1_000;
const SELF = "vm-1";
const ENTRY_NODE = "vm-2";
const PROMPT_LENGTH = 400;
const GRANT_LIFE_MS = 1_500;

/** Runs every call of every program on one owner and measures its cost. */
export function runOwnerBench(options: OwnerBenchOptions): OwnerBenchResult {
  const heapBefore = options.readHeapBytes();
  const run = new OwnerRun(options);
  const cpuBefore = options.readCpuMs();
  run.runAll();
  const cpuMs = options.readCpuMs() - cpuBefore;
  const heapBytes = options.readHeapBytes() - heapBefore;
  const { programs, callsPerProgram, textEvents, eventLength } = options;
  const calls = programs * callsPerProgram;
  const textBytes = callsPerProgram *
    (PROMPT_LENGTH + textEvents * eventLength);
  const heapBytesPerProgram = heapBytes / programs;
  return {
    programs,
    calls,
    cpuUsPerCall: cpuMs * US_PER_MS / calls,
    heapBytesPerProgram,
    heapBytesPerProgramBesideText: heapBytesPerProgram - textBytes,
    entriesPerCall: run.entries / calls,
    messagesPerCall: run.messages / calls,
  };
}

/** One owner. Ledger writes are durable at once; slots are always free. */
class OwnerRun {
  entries = 0;
  messages = 0;
  readonly #options: OwnerBenchOptions;
  readonly #owner: ShardOwner;
  readonly #queue: OwnerInput[] = [];
  #confirmationToken = 0;
  #nowMs = 0;
  #requestNumber = 0;

  constructor(options: OwnerBenchOptions) {
    this.#options = options;
    this.#owner = new ShardOwner({
      self: SELF,
      shard: 0,
      epoch: 1,
      ledger: this.#createLedger(),
      placer: {
        choose: () =>
          ok({
            targetId: "engine-1",
            dispatcher: SELF,
            cachedTokens: 0,
            effects: [],
          }),
        recordCached: () => undefined,
        recordReleased: () => undefined,
        recordCompletion: () => undefined,
        recordProgramEnded: () => undefined,
        hasTarget: () => true,
        isOpen: () => true,
        findDispatcher: () => SELF,
        checkAdmission: () => ok(undefined),
      },
      budgets: {
        reserve: () => ({ kind: "reserved", parts: [] }),
        settle: () => undefined,
      },
      charges: { recordEnded: () => undefined },
      getConfiguration: () => ({ revision: 1, value: EMPTY_CONFIGURATION }),
      getWallClockMs: () => this.#nowMs,
      limits: DEFAULT_OWNER_LIMITS,
      retries: {
        settings: DEFAULT_RETRY_SETTINGS,
        budget: new RetryBudget({ kind: "unlimited" }),
        random: new RandomSource(1),
      },
    });
  }

  /** Creates the programs one by one and runs the calls of each in order. */
  runAll(): void {
    const { programs, callsPerProgram } = this.#options;
    for (let number = 0; number < programs; number++) {
      const programId = formatProgramId(0, number.toString(36));
      this.#createProgram(programId);
      for (let turn = 0; turn < callsPerProgram; turn++) {
        this.#runCall(programId, turn);
      }
    }
  }

  #createProgram(programId: ProgramId): void {
    const spec = {
      programId,
      partner: "zincir",
      agent: "sourcing",
      programClass: "standard",
      budgetMicros: Number.MAX_SAFE_INTEGER,
      parallel: false,
    } as const;
    this.#send({ kind: "create_program", spec });
  }

  #runCall(programId: ProgramId, turn: number): void {
    const call: Call = {
      kind: "model",
      model: "loom",
      messages: [{ role: "user", content: buildText(turn, PROMPT_LENGTH) }],
      maxTokens: 256,
    };
    const key = `k${turn}`;
    this.#send({ kind: "run_call", programId, key, call, fromOffset: 0 });
  }

  #send(request: CallerRequest): void {
    this.#requestNumber += 1;
    const requestId = `r${this.#requestNumber}`;
    const header = { kind: "owner_request", requestId, shard: 0 } as const;
    this.#handle({
      kind: "request",
      from: ENTRY_NODE,
      message: { ...header, request },
    });
  }

  #handle(first: OwnerInput): void {
    this.#queue.push(first);
    for (;;) {
      const input = this.#queue.shift();
      if (input === undefined) return;
      this.#nowMs += 1;
      for (const effect of this.#owner.handle(input, this.#nowMs)) {
        this.#applyEffect(effect);
      }
    }
  }

  #applyEffect(effect: Effect): void {
    if (effect.kind === "start_attempt") {
      return this.#addAttemptEvents(effect.order.attemptId);
    }
    if (effect.kind !== "send_peer") return;
    this.messages += 1;
    const { message } = effect;
    if (message.kind !== "slot_request") return;
    const { attemptId, targetId } = message;
    const granted = { kind: "slot_granted", attemptId, targetId } as const;
    const response = { ...granted, expiresInMs: GRANT_LIFE_MS };
    this.#queue.push({ kind: "slot", message: response });
  }

  #addAttemptEvents(attemptId: string): void {
    const { textEvents, eventLength } = this.#options;
    let text = "";
    for (let number = 0; number < textEvents; number++) {
      const part = buildText(number, eventLength);
      const event = {
        kind: "text",
        offset: text.length,
        text: part,
        tokens: 8,
      } as const;
      this.#queue.push({ kind: "attempt", attemptId, event });
      text += part;
    }
    const usage = { promptTokens: 100, cachedTokens: 0, completionTokens: 64 };
    const event = { kind: "completed", text, usage } as const;
    this.#queue.push({ kind: "attempt", attemptId, event });
  }

  #createLedger(): OwnerLedger {
    return {
      usage: 0,
      append: (bodies) => {
        this.entries += bodies.length;
        const sequence = this.entries;
        this.#queue.push({ kind: "durable", through: sequence });
        return ok({ sequence, effects: [] });
      },
      confirm: () => {
        this.#confirmationToken += 1;
        this.#queue.push({ kind: "confirmed", token: this.#confirmationToken });
        return { token: this.#confirmationToken, effects: [] };
      },
    };
  }
}

function buildText(seed: number, length: number): string {
  return `${seed} `.repeat(length).slice(0, length);
}
