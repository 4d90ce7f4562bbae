/**
 * A shard's owner with a ledger and a placer that the test controls.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  AttemptEvent,
  AttemptOrder,
  Call,
  CallerRequest,
  CallerResponse,
  Effect,
  EntryBody,
  LedgerEntry,
  ProgramSpec,
} from "@camphorlock/types";
import { EMPTY_CONFIGURATION } from "../configuration/mod.ts";
import { RandomSource } from "../random/mod.ts";
import { DEFAULT_RETRY_SETTINGS, RetryBudget } from "../retry/mod.ts";
import { err, ok, type Result } from "neverthrow";
import type {
  LedgerAppend,
  LedgerConfirm,
  OwnerLedger,
  PlacementChoice,
  SharedReservation,
} from "./ports.ts";
import { DEFAULT_OWNER_LIMITS } from "./ports.ts";
import { decodeSnapshot } from "./state_snapshot.ts";
import { type OwnerInput, ShardOwner } from "./shard_owner.ts";

export const PROGRAM = "p0000-1";

export const SPEC: ProgramSpec = {
  programId: PROGRAM,
  partner: "zincir",
  agent: "quote",
  programClass: "short",
  budgetMicros: 100_000,
  parallel: false,
};

export const MODEL_CALL: Call = {
  kind: "model",
  model: "m",
  messages: [{ role: "user", content: "price of a link" }],
  maxTokens: 10,
};

export const ORDER_CALL: Call = {
  kind: "service",
  service: "stock",
  operation: "capture",
  body: "{}",
  idempotent: false,
};

class FakeLedger implements OwnerLedger {
  readonly entries: EntryBody[] = [];
  usage = 0;
  confirms = 0;
  isFull = false;

  append(bodies: readonly EntryBody[]): Result<LedgerAppend, Failure> {
    if (this.isFull) return err(createFailure("LedgerFull", "test"));
    this.entries.push(...bodies);
    return ok({ sequence: this.entries.length, effects: [] });
  }

  confirm(): LedgerConfirm {
    this.confirms += 1;
    return { token: this.confirms, effects: [] };
  }
}

/** Drives one owner and collects its effects. */
export class OwnerFixture {
  readonly ledger = new FakeLedger();
  readonly effects: Effect[] = [];
  targets = ["e1", "e2", "e3", "e4", "e5"];
  nowMs = 0;
  reservation: SharedReservation = { kind: "reserved", parts: [] };
  /** The charges settled with shared budgets, and the ids of charged calls. */
  readonly settled: number[] = [];
  readonly charged: string[] = [];
  readonly #owner: ShardOwner;
  #requests = 0;

  constructor(epoch = 1) {
    this.#owner = new ShardOwner({
      self: "vm-1",
      shard: 0,
      epoch,
      ledger: this.ledger,
      placer: {
        choose: ({ excluded }) => this.#choose(excluded),
        recordCached: () => undefined,
        recordReleased: () => undefined,
        recordCompletion: () => undefined,
        recordProgramEnded: () => undefined,
        checkAdmission: () => ok(undefined),
        isOpen: (target) => this.targets.includes(target),
        findDispatcher: () => "vm-1",
        hasTarget: (target) => this.targets.includes(target),
      },
      budgets: {
        reserve: () => this.reservation,
        settle: (_held, charged) => this.settled.push(charged),
      },
      charges: {
        recordEnded: (_sequence, ended) => this.charged.push(ended.callId),
      },
      getConfiguration: () => ({
        revision: 7,
        value: {
          ...EMPTY_CONFIGURATION,
          models: [{
            model: "m",
            promptMicros: 1_000,
            cachedMicros: 0,
            completionMicros: 10_000,
          }],
          services: [{ service: "stock", callMicros: 500 }],
        },
      }),
      getWallClockMs: () => this.nowMs,
      limits: DEFAULT_OWNER_LIMITS,
      retries: {
        settings: {
          ...DEFAULT_RETRY_SETTINGS,
          firstBackoffMs: 0,
          mostBackoffMs: 0,
        },
        budget: new RetryBudget({ kind: "unlimited" }),
        random: new RandomSource(1),
      },
    });
  }

  /** Handles one input and collects the effects. */
  handle(input: OwnerInput): void {
    this.effects.push(...this.#owner.handle(input, this.nowMs));
  }

  /** Sends a request and returns its id. */
  request(request: CallerRequest): string {
    this.#requests += 1;
    const requestId = `r${this.#requests}`;
    this.handle({
      kind: "request",
      from: "vm-9",
      message: { kind: "owner_request", requestId, shard: 0, request },
    });
    return requestId;
  }

  run(key: string, call: Call, fromOffset = 0): string {
    const programId = PROGRAM;
    return this.request({ kind: "run_call", programId, key, call, fromOffset });
  }

  /** Makes everything appended so far durable and confirms the epoch. */
  settle(): void {
    for (let round = 0; round < 4; round++) {
      this.handle({ kind: "durable", through: this.ledger.entries.length });
      for (let token = 1; token <= this.ledger.confirms; token++) {
        this.handle({ kind: "confirmed", token });
      }
    }
  }

  /** Creates the program of the tests. */
  create(spec: ProgramSpec = SPEC): void {
    this.request({ kind: "create_program", spec });
    this.settle();
  }

  /** Grants the requested slots and makes the intents durable. */
  grantAll(): void {
    for (const request of this.listSent("slot_request")) {
      const { attemptId, targetId } = request;
      const message = { kind: "slot_granted", attemptId, targetId } as const;
      this.handle({
        kind: "slot",
        message: { ...message, expiresInMs: 2_000 },
      });
    }
    this.settle();
  }

  report(attemptId: string, event: AttemptEvent): void {
    this.handle({ kind: "attempt", attemptId, event });
  }

  complete(attemptId: string, text: string): void {
    const usage = { promptTokens: 5, cachedTokens: 0, completionTokens: 4 };
    this.report(attemptId, { kind: "completed", text, usage });
  }

  /** The attempts sent, in order. */
  get sent(): AttemptOrder[] {
    return this.effects.flatMap((effect) =>
      effect.kind === "start_attempt" ? [effect.order] : []
    );
  }

  /** The responses to one request. */
  responsesTo(requestId: string): CallerResponse[] {
    return this.listSent("owner_answer")
      .filter((message) => message.requestId === requestId)
      .map((message) => message.answer);
  }

  listSent<Kind extends SentMessage["kind"]>(
    kind: Kind,
  ): Extract<SentMessage, { kind: Kind }>[] {
    return this.effects.flatMap((effect) => {
      if (effect.kind !== "send_peer") return [];
      const { message } = effect;
      return message.kind === kind
        ? [message as Extract<SentMessage, { kind: Kind }>]
        : [];
    });
  }

  /** Builds a second owner from this one's entries. */
  takeOver(): OwnerFixture {
    const next = new OwnerFixture(2);
    const entries: LedgerEntry[] = this.ledger.entries
      .map((body, at) => ({ shard: 0, epoch: 1, sequence: at + 1, body }));
    next.ledger.entries.push(...this.ledger.entries);
    next.handle({ kind: "recovered", snapshot: [], entries });
    next.settle();
    return next;
  }

  /** Builds a second owner from a snapshot of this one. */
  takeOverFromSnapshot(): OwnerFixture {
    const next = new OwnerFixture(2);
    const parts = this.#owner.encodeSnapshot();
    const snapshot = decodeSnapshot(parts)._unsafeUnwrap();
    next.handle({ kind: "recovered", snapshot, entries: [] });
    next.settle();
    return next;
  }

  #choose(excluded: readonly string[]): Result<PlacementChoice, Failure> {
    const targetId = this.targets.find((each) => !excluded.includes(each));
    if (targetId === undefined) return err(createFailure("NoTarget", "test"));
    const rest = { dispatcher: "vm-1", cachedTokens: 0, effects: [] };
    return ok({ targetId, ...rest });
  }
}

type SentMessage = Extract<Effect, { kind: "send_peer" }>["message"];
