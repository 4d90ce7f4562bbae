/**
 * The owner's side of a shard's ledger.
 *
 * Entries are numbered, sent to the keepers at once and written to the
 * platform in segments. An entry is durable when a stored segment holds it or
 * two keepers in two failure domains do. The first refusal by a keeper or
 * foreign segment under the next name ends the ledger: it accepts and reports
 * nothing more.
 */
import { createFailure, EVENTS, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type EntryBody,
  type Epoch,
  type KeeperMessage,
  type VmId,
} from "@camphorlock/types";
import { err, type Result } from "neverthrow";
import { chooseUrgency } from "./choose_urgency.ts";
import { createEntries } from "./create_entries.ts";
import { EpochQuestions } from "./epoch_questions.ts";
import { KeeperGroup } from "./keeper_group.ts";
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
  type CommitNews,
  LogCommitter,
} from "./log_committer.ts";
import { sumLengths } from "./segment.ts";
import { type EncodedEntry, UnstoredEntries } from "./unstored_entries.ts";
import type { WriteUrgency } from "./write_pacer.ts";

type LedgerState = "serving" | "closing" | "closed" | "superseded";

/** The durable log of one owned shard. */
export class ShardLedger {
  readonly #options: ShardLedgerOptions;
  readonly #keepers: KeeperGroup;
  readonly #committer: LogCommitter;
  readonly #unstored: UnstoredEntries;
  #state: LedgerState = "serving";
  #durableThrough: number;
  /** Since when the same entry waits to become durable. */
  #waitingSinceMs: number | undefined;
  readonly #questions = new EpochQuestions();
  /** Token of the moment when the last stored segment was begun. */
  #storedToken = 0;

  constructor(options: ShardLedgerOptions) {
    const { epoch, keepers, firstSequence } = options;
    this.#options = options;
    const storedThrough = firstSequence - 1;
    this.#keepers = new KeeperGroup({ ...options, storedThrough });
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

  /** Whether entries are taken: neither superseded nor closing. */
  get isServing(): boolean {
    return this.#state === "serving";
  }

  /** Share of the bounded space that is in use, from 0 to 1. */
  get usage(): number {
    const bytes = this.#unstored.bytes / this.#options.limits.unstoredBytes;
    return Math.max(bytes, this.#committer.usage);
  }

  /** Whether the owner should give a snapshot now. */
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
      const detail = `shard ${this.#options.shard} is served elsewhere`;
      return err(createFailure("OwnerSuperseded", detail));
    }
    return this.#createEntries(bodies).map((entries) => {
      for (const entry of entries) this.#unstored.append(entry);
      const effects = this.#sendDue(nowMs);
      return { sequence: this.#unstored.lastSequence, effects };
    });
  }

  /**
   * Asks whether the epoch still holds; a notice `confirmed` answers.
   *
   * Once the ledger is closed or superseded there is no answer.
   */
  confirm(nowMs: number): ConfirmStep {
    const token = this.#keepers.takeToken();
    if (!this.isServing) return { token, effects: [] };
    this.#questions.add({ token, askedAtMs: nowMs });
    return { token, effects: this.#sendDue(nowMs) };
  }

  /** Takes the state of the owner; a notice tells when it's stored. */
  startSnapshot(content: SnapshotContent, nowMs: number): readonly Effect[] {
    this.#committer.startSnapshot(content);
    return this.#sendDue(nowMs);
  }

  /** Writes everything to the platform and closes the log for a handover. */
  close(nowMs: number): readonly Effect[] {
    if (!this.isServing) return [];
    this.#state = "closing";
    this.#questions.removeAll();
    return this.#sendDue(nowMs);
  }

  /** Advances by one input. */
  handle(input: LedgerInput, nowMs: number): LedgerStep {
    if (this.#isOver) return { effects: [], notices: [] };
    const notices = this.#applyInput(input, nowMs);
    if (this.#isOver) return { effects: this.#logEnd(notices), notices };
    const reports = this.#listReports();
    const effects = this.#sendDue(nowMs);
    return { effects, notices: [...notices, ...reports] };
  }

  get #isOver(): boolean {
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

  #applyPeer(from: VmId, message: KeeperMessage): LedgerNotice[] {
    const { shard, epoch } = this.#options;
    if (message.shard !== shard || message.epoch !== epoch) return [];
    const news = this.#keepers.handle(from, message);
    return news.kind === "superseded" ? this.#endSuperseded(news.epoch) : [];
  }

  #applyCommit(news: CommitNews): LedgerNotice[] {
    switch (news.kind) {
      case "pending":
        return [];
      case "taken":
        return this.#endSuperseded(news.epoch);
      case "snapshot_stored":
        return [news];
      case "stored":
        return this.#applyStored(news);
      default:
        return checkNever(news);
    }
  }

  #applyStored(news: Extract<CommitNews, { kind: "stored" }>): LedgerNotice[] {
    const { number, role, entries } = news.segment;
    const throughSequence = this.#unstored.storedThrough + entries.length;
    this.#unstored.removeThrough(throughSequence);
    const bytes = sumLengths(entries);
    this.#committer.recordStored({ number, throughSequence, bytes });
    this.#keepers.applyStored(news.beganToken);
    this.#storedToken = news.beganToken;
    if (role !== "close") return [];
    this.#state = "closed";
    this.#committer.stop();
    const reports = this.#listReports();
    return [...reports, { kind: "closed" }];
  }

  #endSuperseded(epoch: Epoch): LedgerNotice[] {
    this.#state = "superseded";
    this.#questions.removeAll();
    this.#committer.stop();
    return [{ kind: "superseded", epoch }];
  }

  #listReports(): LedgerNotice[] {
    const durable = this.#updateDurable();
    return [...durable, ...this.#settleQuestions()];
  }

  /** A successor doesn't ask the keepers once it finds the log closed. */
  #updateDurable(): LedgerNotice[] {
    const isByKeepers = !this.#committer.hasBegunClose;
    const kept = isByKeepers ? this.#keepers.keptThrough : 0;
    const through = Math.max(this.#unstored.storedThrough, kept);
    if (through <= this.#durableThrough) return [];
    this.#durableThrough = through;
    this.#waitingSinceMs = undefined;
    return [{ kind: "durable", through }];
  }

  /** Settles the questions put before what keepers or platform answered. */
  #settleQuestions(): LedgerNotice[] {
    const { confirmedToken } = this.#keepers;
    const settledToken = Math.max(confirmedToken, this.#storedToken);
    const tokens = this.#questions.takeBefore(settledToken);
    return tokens.map((token) => ({ kind: "confirmed", token }));
  }

  #sendDue(nowMs: number): Effect[] {
    if (this.#isOver) return [];
    const source = {
      unstored: this.#unstored,
      durableThrough: this.#durableThrough,
      askedToken: this.#questions.newestToken,
    };
    const messages = this.#keepers.sendDue(source, nowMs);
    const requests = this.#committer.sendDue(this.#createDemand(nowMs), nowMs);
    return [...messages, ...requests];
  }

  #createDemand(nowMs: number): CommitDemand {
    return {
      unstored: this.#unstored,
      urgency: this.#chooseUrgency(nowMs),
      isClosing: this.#state === "closing",
      takeToken: () => this.#keepers.takeToken(),
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
      waitedMs: nowMs - Math.min(sinceMs, this.#questions.askedAtMs),
      hasPair: this.#keepers.hasPair,
      needsProof: this.#keepers.needsProof,
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
