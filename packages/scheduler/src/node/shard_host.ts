/**
 * Hosts one shard that this node owns: its recovery, then its ledger and owner.
 *
 * The platform has already assigned the epoch to this node. Requests that
 * arrive during the recovery are queued until it ends.
 */
import {
  type AttemptId,
  checkNever,
  type Effect,
  type ProgramView,
  type ShardAssignment,
} from "@camphorlock/types";
import {
  type LedgerInput,
  type LedgerNotice,
  type RecoveredShard,
  type RecoveryNotice,
  type RecoveryStep,
  ShardLedger,
  ShardRecovery,
} from "../ledger/mod.ts";
import { type OwnerInput, ShardOwner } from "../owner/mod.ts";
import { ok } from "neverthrow";
import {
  createOwner,
  type ShardHostDependencies,
} from "./shard_host_dependencies.ts";
import type {
  ShardHostInput,
  ShardHostNotice,
  ShardHostStep,
} from "./shard_host_input.ts";
import { decodeCharges, ShardCharges } from "./shard_charges.ts";
import { decodeSnapshot } from "../owner/state_snapshot.ts";

/** Maximum number each of requests and attempt events queued in recovery. */
const MAX_QUEUED = 1_000;

type AttemptInput = Extract<ShardHostInput, { kind: "attempt" }>;
type RequestInput = Extract<ShardHostInput, { kind: "request" }>;

/** The recovery, ledger and owner of one shard. */
export class ShardHost {
  readonly #assignment: ShardAssignment;
  readonly #dependencies: ShardHostDependencies;
  readonly #recovery: ShardRecovery;
  #ledger: ShardLedger | undefined;
  #owner: ShardOwner | undefined;
  readonly #charges: ShardCharges;
  readonly #unsent: ReadonlySet<AttemptId>;
  #requests: RequestInput[] = [];
  readonly #attempts: AttemptInput[] = [];
  #effects: Effect[] = [];
  #notices: ShardHostNotice[] = [];
  #nowMs = 0;
  #isEnded = false;

  /**
   * `unsent` contains intents that this process recorded under an earlier epoch
   * of the shard but didn't send.
   */
  constructor(
    assignment: ShardAssignment,
    dependencies: ShardHostDependencies,
    unsent: ReadonlySet<AttemptId>,
  ) {
    this.#unsent = unsent;
    this.#assignment = assignment;
    this.#dependencies = dependencies;
    this.#charges = new ShardCharges(
      assignment.shard,
      () => dependencies.getConfiguration().value,
    );
    this.#recovery = new ShardRecovery({
      shard: assignment.shard,
      epoch: assignment.epoch,
      keepers: assignment.keepers,
      limits: dependencies.ledgerLimits,
      exposeAfterMs: dependencies.exposeAfterMs,
    });
  }

  /** The epoch under which the shard is owned. */
  get epoch(): number {
    return this.#assignment.epoch;
  }

  /** Whether requests are served. */
  get isServing(): boolean {
    return this.#owner !== undefined && !this.#isEnded;
  }

  /** Starts the recovery. */
  start(nowMs: number): ShardHostStep {
    this.#nowMs = nowMs;
    this.#applyRecovery(this.#recovery.start(nowMs));
    return this.#takeStep();
  }

  /** Handles one input. */
  handle(input: ShardHostInput, nowMs: number): ShardHostStep {
    this.#nowMs = nowMs;
    if (!this.#isEnded) this.#handleInput(input);
    return this.#takeStep();
  }

  /** Flushes the ledger to the platform and closes its log, for a handover. */
  close(nowMs: number): ShardHostStep {
    this.#nowMs = nowMs;
    this.#effects.push(...this.#ledger?.close(nowMs) ?? []);
    return this.#takeStep();
  }

  /** Lists the intents that aren't sent yet. */
  listUnsent(): AttemptId[] {
    return this.#owner?.listUnsent() ?? [...this.#unsent];
  }

  /** Counts the attempts whose outcome only this node can receive. */
  countServiceAttempts(): number {
    return this.#owner?.countServiceAttempts() ?? 0;
  }

  /** Lists the programs of the shard. */
  listPrograms(): ProgramView[] {
    return this.#owner?.listPrograms() ?? [];
  }

  #handleInput(input: ShardHostInput): void {
    switch (input.kind) {
      case "keeper":
        return this.#handleLedger({ ...input, kind: "peer" });
      case "platform":
        return this.#handlePlatform(input);
      case "request":
        return this.#handleRequest(input);
      case "attempt":
        return this.#handleAttempt(input);
      case "slot":
      case "order_result":
      case "drain":
        return this.#runOwner(input);
      case "vms_gone":
        if (this.#ledger !== undefined) return;
        return this.#applyRecovery(this.#recovery.handle(input, this.#nowMs));
      case "tick":
        this.#handleLedger(input);
        return this.#handleTick();
      default:
        return checkNever(input);
    }
  }

  #handlePlatform(
    input: Extract<ShardHostInput, { kind: "platform" }>,
  ): void {
    const { token, answer: response } = input;
    if (token.role !== "charge") return this.#handleLedger(input);
    const effects = this.#charges.handleResponse(token, response, this.#nowMs);
    this.#effects.push(...effects);
  }

  #handleLedger(input: LedgerInput): void {
    if (this.#ledger === undefined) {
      return this.#applyRecovery(this.#recovery.handle(input, this.#nowMs));
    }
    const step = this.#ledger.handle(input, this.#nowMs);
    this.#effects.push(...step.effects);
    for (const notice of step.notices) this.#applyNotice(notice);
  }

  #handleRequest(input: RequestInput): void {
    if (this.#owner !== undefined) return this.#runOwner(input);
    if (this.#requests.length < MAX_QUEUED) this.#requests.push(input);
  }

  /**
   * Queues attempt events while this process recovers a shard that it already
   * owned, as after a change of replicas. Other nodes may not receive them.
   */
  #handleAttempt(input: AttemptInput): void {
    if (this.#owner !== undefined) return this.#runOwner(input);
    if (this.#attempts.length < MAX_QUEUED) this.#attempts.push(input);
  }

  #handleTick(): void {
    this.#runOwner({ kind: "tick" });
    if (this.#owner === undefined) return;
    this.#effects.push(...this.#charges.handleTick(this.#nowMs));
    if (this.#ledger?.needsSnapshot !== true) return;
    const content = {
      throughSequence: this.#ledger.lastSequence,
      parts: [
        this.#charges.encodeSnapshot(),
        ...this.#owner.encodeSnapshot(),
      ],
    };
    this.#effects.push(...this.#ledger.startSnapshot(content, this.#nowMs));
  }

  #runOwner(input: OwnerInput): void {
    if (this.#owner === undefined) return;
    this.#effects.push(...this.#owner.handle(input, this.#nowMs));
  }

  #applyNotice(notice: LedgerNotice): void {
    switch (notice.kind) {
      case "durable":
        this.#charges.applyDurable(notice.through, this.#nowMs);
        return this.#runOwner(notice);
      case "confirmed":
        return this.#runOwner(notice);
      case "superseded":
        return this.#end();
      case "closed":
        return this.#end();
      case "snapshot_stored":
        return;
      default:
        return checkNever(notice);
    }
  }

  #applyRecovery(step: RecoveryStep): void {
    this.#effects.push(...step.effects);
    for (const notice of step.notices) this.#applyRecoveryNotice(notice);
  }

  #applyRecoveryNotice(notice: RecoveryNotice): void {
    switch (notice.kind) {
      case "recovered":
        return this.#startOwner(notice.shard);
      case "superseded":
      case "damaged":
        return this.#end();
      case "waiting":
      case "exposed":
        return;
      default:
        return checkNever(notice);
    }
  }

  #startOwner(recovered: RecoveredShard): void {
    const [charges, ...parts] = recovered.snapshot?.parts ?? [];
    const pending = charges === undefined ? ok([]) : decodeCharges(charges);
    const snapshot = decodeSnapshot(parts);
    if (snapshot.isErr() || pending.isErr()) return this.#end();
    this.#charges.loadSnapshot(pending.value, this.#nowMs);
    const { shard, epoch } = this.#assignment;
    const { self, failureDomainOf, ledgerLimits, pacer } = this.#dependencies;
    const ledger = new ShardLedger({
      ...recovered.start,
      self,
      shard,
      epoch,
      failureDomainOf,
      limits: ledgerLimits,
      pacer,
    });
    this.#ledger = ledger;
    this.#owner = createOwner(this.#assignment, this.#dependencies, {
      ledger,
      charges: this.#charges,
    });
    const through = ledger.durableThrough;
    this.#runOwner({ kind: "durable", through });
    this.#runOwner({
      kind: "recovered",
      snapshot: snapshot.value,
      entries: recovered.entries,
      unsent: this.#unsent,
    });
    this.#charges.applyDurable(through, this.#nowMs);
    for (const input of this.#attempts.splice(0)) this.#runOwner(input);
    for (const input of this.#requests.splice(0)) this.#runOwner(input);
    this.#notices.push({ kind: "recovered" });
  }

  #end(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#notices.push({ kind: "ended" });
  }

  #takeStep(): ShardHostStep {
    const step = { effects: this.#effects, notices: this.#notices };
    this.#effects = [];
    this.#notices = [];
    return step;
  }
}
