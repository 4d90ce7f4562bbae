/**
 * The owner's side of a shard's ledger.
 *
 * Entries are numbered, sent to the replicas at once and written to the
 * platform in segments. An entry is durable when a stored segment holds it or
 * two replicas in different failure domains do. A refusal by a replica, or
 * another writer's segment in the next slot, ends the ledger: it accepts and
 * reports nothing more.
 */
import { createFailure, EVENTS, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type EntryBody,
  type Epoch,
  type ReplicaMessage,
  type VmId,
} from "@camphorlock/types";
import { err, type Result } from "neverthrow";
import { chooseUrgency } from "./choose_urgency.ts";
import { createEntries } from "./create_entries.ts";
import type {
  AppendStep,
  ConfirmStep,
  LedgerInput,
  LedgerNotice,
  LedgerStep,
  ShardLedgerOptions,
  SnapshotContent,
} from "./ledger_types.ts";
import {
  type CommitDemand,
  type CommitOutcome,
  LogCommitter,
} from "./log_committer.ts";
import { PendingConfirmations } from "./pending_confirmations.ts";
import { ReplicaSet } from "./replica_set.ts";
import { sumLengths } from "./segment.ts";
import { type EncodedEntry, UnstoredEntries } from "./unstored_entries.ts";
import type { WriteUrgency } from "./write_pacer.ts";

type LedgerState = "serving" | "closing" | "closed" | "superseded";

/** The durable log of one owned shard. */
export class ShardLedger {
  readonly #options: ShardLedgerOptions;
  readonly #replicas: ReplicaSet;
  readonly #committer: LogCommitter;
  readonly #unstored: UnstoredEntries;
  #state: LedgerState = "serving";
  #durableThrough: number;
  /** Start of the wait for the next entry to become durable. */
  #waitingSinceMs: number | undefined;
  readonly #confirmations = new PendingConfirmations();
  /** Token that marks the start of the last stored segment. */
  #storedToken = 0;

  constructor(options: ShardLedgerOptions) {
    const { epoch, keepers, firstSequence } = options;
    this.#options = options;
    const storedThrough = firstSequence - 1;
    this.#replicas = new ReplicaSet({ ...options, storedThrough });
    this.#committer = new LogCommitter({
      ...options,
      open: { epoch, keepers },
    });
    this.#unstored = new UnstoredEntries(storedThrough);
    this.#durableThrough = storedThrough;
  }

  /** Entries up to here are durable. */
  get durableThrough(): number {
    return this.#durableThrough;
  }

  /** Entries up to here are on the platform. */
  get storedThrough(): number {
    return this.#unstored.storedThrough;
  }

  /** The sequence of the last entry appended. */
  get lastSequence(): number {
    return this.#unstored.lastSequence;
  }

  /** Whether appends are accepted: neither superseded nor closing. */
  get isServing(): boolean {
    return this.#state === "serving";
  }

  /** Usage of the ledger's bounded space; 1 when it's full. */
  get usage(): number {
    const bytes = this.#unstored.bytes / this.#options.limits.unstoredBytes;
    return Math.max(bytes, this.#committer.usage);
  }

  /** Whether the owner should take a snapshot now. */
  get needsSnapshot(): boolean {
    return this.isServing && this.#committer.needsSnapshot;
  }

  /**
   * Appends entries in their order.
   *
   * Refuses all of them with `OwnerSuperseded`, `LedgerFull` or
   * `EntryTooLarge`.
   */
  append(
    bodies: readonly EntryBody[],
    nowMs: number,
  ): Result<AppendStep, Failure> {
    if (!this.isServing) {
      const detail = `shard ${this.#options.shard} accepts no more entries`;
      return err(createFailure("OwnerSuperseded", detail));
    }
    return this.#createEntries(bodies).map((entries) => {
      for (const entry of entries) this.#unstored.append(entry);
      const effects = this.#sendDue(nowMs);
      return { sequence: this.#unstored.lastSequence, effects };
    });
  }

  /**
   * Requests a confirmation that the epoch is still current.
   *
   * A notice `confirmed` follows, unless the ledger closes or is superseded.
   */
  confirm(nowMs: number): ConfirmStep {
    const token = this.#replicas.createToken();
    if (!this.isServing) return { token, effects: [] };
    this.#confirmations.add({ token, requestedAtMs: nowMs });
    return { token, effects: this.#sendDue(nowMs) };
  }

  /** Starts a snapshot of the owner's state; a notice follows its storage. */
  startSnapshot(content: SnapshotContent, nowMs: number): readonly Effect[] {
    this.#committer.startSnapshot(content);
    return this.#sendDue(nowMs);
  }

  /** Writes every entry to the platform and closes the log for a handover. */
  close(nowMs: number): readonly Effect[] {
    if (!this.isServing) return [];
    this.#state = "closing";
    this.#confirmations.removeAll();
    return this.#sendDue(nowMs);
  }

  /** Applies one input. */
  handle(input: LedgerInput, nowMs: number): LedgerStep {
    if (this.#hasEnded) return { effects: [], notices: [] };
    const notices = this.#applyInput(input, nowMs);
    if (this.#hasEnded) return { effects: this.#logEnd(notices), notices };
    const progress = this.#listProgress();
    const effects = this.#sendDue(nowMs);
    return { effects, notices: [...notices, ...progress] };
  }

  get #hasEnded(): boolean {
    return this.#state === "closed" || this.#state === "superseded";
  }

  #applyInput(input: LedgerInput, nowMs: number): LedgerNotice[] {
    switch (input.kind) {
      case "peer":
        return this.#applyPeer(input.from, input.message);
      case "platform":
        return this.#applyCommit(this.#committer.handle(input, nowMs));
      case "tick":
        this.#committer.checkTimeouts(nowMs);
        return [];
      default:
        return checkNever(input);
    }
  }

  #applyPeer(from: VmId, message: ReplicaMessage): LedgerNotice[] {
    const { shard, epoch } = this.#options;
    if (message.shard !== shard || message.epoch !== epoch) return [];
    const event = this.#replicas.handle(from, message);
    return event.kind === "superseded" ? this.#endSuperseded(event.epoch) : [];
  }

  #applyCommit(outcome: CommitOutcome): LedgerNotice[] {
    switch (outcome.kind) {
      case "pending":
        return [];
      case "taken":
        return this.#endSuperseded(outcome.epoch);
      case "snapshot_stored":
        return [outcome];
      case "stored":
        return this.#applyStored(outcome);
      default:
        return checkNever(outcome);
    }
  }

  #applyStored(
    outcome: Extract<CommitOutcome, { kind: "stored" }>,
  ): LedgerNotice[] {
    const { number, role, entries } = outcome.segment;
    const throughSequence = this.#unstored.storedThrough + entries.length;
    this.#unstored.removeThrough(throughSequence);
    const bytes = sumLengths(entries);
    this.#committer.recordStored({ number, throughSequence, bytes });
    this.#replicas.applyStored(outcome.startToken);
    this.#storedToken = outcome.startToken;
    if (role !== "close") return [];
    this.#state = "closed";
    this.#committer.stop();
    const progress = this.#listProgress();
    return [...progress, { kind: "closed" }];
  }

  #endSuperseded(epoch: Epoch): LedgerNotice[] {
    this.#state = "superseded";
    this.#confirmations.removeAll();
    this.#committer.stop();
    return [{ kind: "superseded", epoch }];
  }

  #listProgress(): LedgerNotice[] {
    const durable = this.#updateDurable();
    return [...durable, ...this.#settleConfirmations()];
  }

  /** Once the log may be closed, a successor doesn't query the replicas. */
  #updateDurable(): LedgerNotice[] {
    const isByReplicas = !this.#committer.hasStartedClose;
    const replicated = isByReplicas ? this.#replicas.keptThrough : 0;
    const through = Math.max(this.#unstored.storedThrough, replicated);
    if (through <= this.#durableThrough) return [];
    this.#durableThrough = through;
    this.#waitingSinceMs = undefined;
    return [{ kind: "durable", through }];
  }

  /** Settles the requests before the newest acknowledgement or segment. */
  #settleConfirmations(): LedgerNotice[] {
    const { confirmedToken } = this.#replicas;
    const settledToken = Math.max(confirmedToken, this.#storedToken);
    const tokens = this.#confirmations.takeBefore(settledToken);
    return tokens.map((token) => ({ kind: "confirmed", token }));
  }

  #sendDue(nowMs: number): Effect[] {
    if (this.#hasEnded) return [];
    const source = {
      unstored: this.#unstored,
      durableThrough: this.#durableThrough,
      confirmationToken: this.#confirmations.newestToken,
    };
    const messages = this.#replicas.sendDue(source, nowMs);
    const requests = this.#committer.sendDue(this.#createDemand(nowMs), nowMs);
    return [...messages, ...requests];
  }

  #createDemand(nowMs: number): CommitDemand {
    return {
      unstored: this.#unstored,
      urgency: this.#chooseUrgency(nowMs),
      isClosing: this.#state === "closing",
      createToken: () => this.#replicas.createToken(),
    };
  }

  #chooseUrgency(nowMs: number): WriteUrgency | "none" {
    if (this.lastSequence > this.#durableThrough) {
      this.#waitingSinceMs ??= nowMs;
    }
    const sinceMs = this.#waitingSinceMs ?? Number.POSITIVE_INFINITY;
    return chooseUrgency({
      isClosing: this.#state === "closing",
      bytes: this.#unstored.bytes,
      segmentBytes: this.#options.limits.segmentBytes,
      waitedMs: nowMs - Math.min(sinceMs, this.#confirmations.requestedAtMs),
      hasReachablePair: this.#replicas.hasReachablePair,
      needsStoredSegment: this.#replicas.needsStoredSegment,
    });
  }

  #createEntries(
    bodies: readonly EntryBody[],
  ): Result<readonly EncodedEntry[], Failure> {
    const { shard, epoch, limits } = this.#options;
    const { bytes, lastSequence } = this.#unstored;
    const position = { shard, epoch, afterSequence: lastSequence };
    return createEntries(bodies, { ...position, limits, heldBytes: bytes });
  }

  #logEnd(notices: readonly LedgerNotice[]): Effect[] {
    const { shard, epoch } = this.#options;
    const end = notices.at(-1);
    if (end?.kind !== "superseded") return [];
    const { event } = EVENTS.LedgerSuperseded;
    const fields = { shard, epoch, by: end.epoch };
    return [{ kind: "log", record: { event, fields } }];
  }
}
