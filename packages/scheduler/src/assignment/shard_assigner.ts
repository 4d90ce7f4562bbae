/**
 * Keeps each shard owned by one living process.
 *
 * The assignment of shards lies in groups on the platform; only a conditional
 * update there changes it. For each group the living nodes have an order, by
 * which one of them gives the shards of dead owners to others. An owner itself
 * replaces its keepers, and offers its shards when it leaves or has too many.
 * A few nodes watch the platform and spread what changed.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type MembershipMessage,
  type MembershipView,
  type NodeSpec,
  type PlatformAnswer,
  type ShardAssignment,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import { computeHash } from "../hash.ts";
import { RandomChooser } from "../membership/random.ts";
import { AssignmentTable } from "./assignment_table.ts";
import { Fleet } from "./fleet.ts";
import { GroupBook, type GroupState } from "./group_book.ts";
import { decodeGroup, isShardAssignment } from "./group_codec.ts";
import { GroupReader } from "./group_reader.ts";
import { GroupWriter, listConcerned, type WriteCall } from "./group_writer.ts";
import { Handover } from "./handover.ts";
import { buildNoticeRecord, buildProposedRecord } from "./log_records.ts";
import type {
  AssignmentInput,
  AssignmentNotice,
  AssignmentOptions,
  AssignmentStep,
  AssignmentView,
  StoredShard,
} from "./messages.ts";
import { NewsQueue } from "./news.ts";
import { PendingNotes } from "./pending_notes.ts";
import { type OpenCall, PlatformCalls } from "./platform_calls.ts";
import { Proposer } from "./proposer.ts";
import {
  type AssignmentSettings,
  DEFAULT_ASSIGNMENT_SETTINGS,
} from "./settings.ts";

interface StoredGroup {
  readonly version: number;
  readonly shards: readonly StoredShard[];
}

/** The shard assignment role of one node. */
export class ShardAssigner {
  readonly #self: NodeSpec;
  readonly #settings: AssignmentSettings;
  readonly #table: AssignmentTable;
  readonly #groups: GroupBook;
  readonly #calls: PlatformCalls;
  readonly #reader: GroupReader;
  readonly #writer: GroupWriter;
  readonly #notes: PendingNotes;
  readonly #proposer: Proposer;
  readonly #handover: Handover;
  readonly #news: NewsQueue;
  #startedAtMs: number | undefined;
  #isCutOff = true;
  #nextPlanMs = 0;
  #nowMs = 0;
  #effects: Effect[] = [];
  #notices: AssignmentNotice[] = [];

  constructor(options: AssignmentOptions) {
    const { self } = options;
    const settings = { ...DEFAULT_ASSIGNMENT_SETTINGS, ...options.settings };
    const name = `${self.vmId}|${self.incarnation}`;
    const table = new AssignmentTable(self);
    const groups = new GroupBook(settings);
    const calls = new PlatformCalls(settings, name);
    const notes = new PendingNotes(settings, table);
    const random = new RandomChooser(computeHash(name));
    this.#self = self;
    this.#settings = settings;
    this.#table = table;
    this.#groups = groups;
    this.#calls = calls;
    this.#notes = notes;
    this.#reader = new GroupReader({ self, settings, groups, calls });
    this.#writer = new GroupWriter({ self, settings, calls });
    this.#proposer = new Proposer({ self, settings, table, notes });
    this.#handover = new Handover({ self, settings, table });
    this.#news = new NewsQueue(settings, random);
  }

  /** Handles one input. */
  handle(input: AssignmentInput, nowMs: number): AssignmentStep {
    this.#nowMs = nowMs;
    this.#handleInput(input);
    const step = { effects: this.#effects, notices: this.#notices };
    this.#effects = [];
    this.#notices = [];
    return step;
  }

  /** Gets what is known of the owners. */
  view(): AssignmentView {
    return {
      ownerOf: (shard) => this.#table.find(shard),
      listOwned: () => this.#table.listOwned().map((each) => each.shard),
    };
  }

  #handleInput(input: AssignmentInput): void {
    switch (input.kind) {
      case "membership":
        this.#isCutOff = input.isCutOff;
        return this.#setView(input.view);
      case "peer":
        return this.#handlePeer(input.from, input.message);
      case "platform":
        return this.#handleAnswer(input.token.number, input.answer);
      case "tick":
        return this.#handleTick();
      case "busy":
        this.#handover.setBusy(input.shards);
        break;
      case "leave":
        return this.#handover.startLeaving();
      case "recovered":
        return this.#addRecovered(input.shard, input.epoch);
      case "stale":
        return this.#readIfOlder(input.shard, input.knownEpoch);
      default:
        return checkNever(input);
    }
  }

  #setView(view: MembershipView): void {
    if (!this.#proposer.getFleet().isChangedBy(view)) return;
    const fleet = new Fleet(view);
    this.#proposer.setFleet(fleet);
    this.#reader.setFleet(fleet);
    this.#groups.setUnsettled();
  }

  #addRecovered(shard: ShardId, epoch: Epoch): void {
    const stored = this.#groups.findOf(shard)?.stored.get(shard);
    if (stored === undefined || stored.predecessors.length === 0) return;
    this.#notes.addRecovered(shard, { epoch, atMs: this.#nowMs });
    this.#groups.setUnsettledOf(shard);
  }

  #readIfOlder(shard: ShardId, knownEpoch: Epoch): void {
    const epoch = this.#table.find(shard)?.epoch ?? 0;
    if (epoch < knownEpoch) this.#reader.startRead(shard, this.#nowMs);
  }

  #handleTick(): void {
    this.#startedAtMs ??= this.#nowMs;
    for (const call of this.#calls.takeTimedOut(this.#nowMs)) {
      this.#handleFailure(call);
    }
    if (this.#calls.canCall(this.#nowMs)) {
      this.#effects.push(...this.#reader.buildCalls(this.#nowMs));
      this.#sendProposals();
    }
    this.#sendOffers();
    this.#sendNews();
  }

  #canPropose(): boolean {
    const sinceMs = this.#nowMs - (this.#startedAtMs ?? this.#nowMs);
    return !this.#isCutOff && sinceMs >= this.#settings.settleMs;
  }

  #sendProposals(): void {
    if (this.#nowMs < this.#nextPlanMs) return;
    this.#nextPlanMs = this.#nowMs + this.#settings.planPeriodMs;
    if (!this.#canPropose()) return;
    for (const state of this.#groups.list()) {
      if (state.busy || state.version === undefined) continue;
      if (state.readAtMs !== undefined) continue;
      if (this.#nowMs >= state.proposeAtMs) this.#sendProposal(state);
    }
  }

  #sendProposal(state: GroupState): void {
    const nowMs = this.#nowMs;
    const decision = this.#proposer.chooseProposal(state, nowMs);
    if (decision.kind === "wait") return;
    if (decision.kind === "read") {
      this.#effects.push(this.#reader.read(state, nowMs));
      return;
    }
    if (!this.#calls.takeWrite(nowMs)) return;
    const { changes } = decision;
    this.#effects.push(this.#writer.write(state, { changes, nowMs }));
    const record = buildProposedRecord(state.group, changes);
    this.#effects.push({ kind: "log", record });
  }

  #sendOffers(): void {
    const fleet = this.#proposer.getFleet();
    const offers = this.#handover.buildOffers(fleet, {
      nowMs: this.#nowMs,
      canRebalance: this.#canPropose(),
    });
    this.#effects.push(...offers);
    if (this.#handover.takeHandedOver()) {
      this.#notices.push({ kind: "handed_over" });
    }
  }

  #sendNews(): void {
    if (this.#news.isEmpty()) return;
    const { candidateIds } = this.#proposer.getFleet();
    const others = candidateIds.filter((vmId) => vmId !== this.#self.vmId);
    this.#effects.push(...this.#news.takeMessages(others));
  }

  #handleAnswer(number: number, answer: PlatformAnswer): void {
    const call = this.#calls.take(number);
    if (call === undefined) return;
    if (answer.kind === "failed") return this.#handleFailure(call);
    this.#calls.recordSuccess();
    switch (call.kind) {
      case "list":
        return this.#reader.handleListed(answer, this.#nowMs);
      case "watch":
        return this.#reader.handleChanged(answer, this.#nowMs);
      case "read":
        return this.#handleRead(call.group, answer);
      case "write":
        return this.#handleWritten(call, answer);
      default:
        return checkNever(call);
    }
  }

  /** After a lost answer the group is read back, whatever was asked. */
  #handleFailure(call: OpenCall): void {
    this.#calls.recordFailure(this.#nowMs);
    switch (call.kind) {
      case "list":
      case "watch":
        return this.#reader.handleFailure(call.kind);
      case "read":
      case "write": {
        const state = this.#groups.find(call.group);
        if (state === undefined) return;
        state.busy = false;
        state.readAtMs = this.#nowMs;
        return;
      }
      default:
        return checkNever(call);
    }
  }

  #handleRead(group: number, answer: PlatformAnswer): void {
    const state = this.#groups.find(group);
    if (state === undefined) return;
    state.busy = false;
    this.#nextPlanMs = this.#nowMs;
    if (answer.kind === "absent") {
      state.version ??= 0;
      state.learntAtMs = this.#nowMs;
    }
    if (answer.kind !== "found") return;
    const decoded = decodeGroup(answer.object.value);
    if (decoded.isErr()) return;
    const { version } = answer.object;
    this.#applyGroup(state, { version, shards: decoded.value });
  }

  #handleWritten(call: WriteCall, answer: PlatformAnswer): void {
    const state = this.#groups.find(call.group);
    if (state === undefined) return;
    state.busy = false;
    if (answer.kind !== "stored") {
      this.#writer.recordConflict(state, this.#nowMs);
      return;
    }
    state.conflicts = 0;
    for (const { assignment, vmIds } of listConcerned(call, state)) {
      vmIds.delete(this.#self.vmId);
      for (const vmId of vmIds) this.#news.addDirect(vmId, assignment);
    }
    this.#applyGroup(state, { version: answer.version, shards: call.shards });
  }

  #applyGroup(state: GroupState, group: StoredGroup): void {
    if (group.version < (state.version ?? 0)) return;
    const isFirst = state.version === undefined;
    state.version = group.version;
    state.isSettled = false;
    state.learntAtMs = this.#nowMs;
    state.stored = new Map(
      group.shards.map((stored) => [stored.assignment.shard, stored]),
    );
    for (const stored of group.shards) this.#applyStored(stored, isFirst);
  }

  #applyStored(stored: StoredShard, isFirst: boolean): void {
    const { assignment, predecessors } = stored;
    const isOwn = this.#table.isOwn(assignment);
    if (isOwn && predecessors.length === 0) {
      this.#notes.removeRecovered(assignment.shard);
    }
    const isNews = this.#table.isNews(assignment);
    this.#addNotices(this.#table.applyStored(stored));
    if (!isNews || isFirst) return;
    this.#news.add(assignment);
    if (!isOwn) this.#news.addDirect(assignment.owner, assignment);
  }

  #handlePeer(from: VmId, message: MembershipMessage): void {
    if (message.kind === "assignment_news") {
      for (const assignment of message.assignments) this.#addNews(assignment);
    } else if (message.kind === "handover_offer") {
      this.#handleOffer(from, message.shards);
    }
  }

  #addNews(assignment: ShardAssignment): void {
    if (!isShardAssignment(assignment)) return;
    if (!this.#table.isNews(assignment)) return;
    this.#addNotices(this.#table.applyNews(assignment));
    this.#groups.setUnsettledOf(assignment.shard);
    this.#news.add(assignment);
    if (!this.#table.isOwn(assignment)) return;
    this.#reader.startRead(assignment.shard, this.#nowMs);
  }

  #handleOffer(from: VmId, shards: readonly ShardId[]): void {
    if (this.#handover.isLeaving) return;
    const nowMs = this.#nowMs;
    this.#notes.addOffer(from, { shards, nowMs });
    for (const shard of shards) {
      this.#groups.setUnsettledOf(shard);
      const stored = this.#groups.findOf(shard)?.stored.get(shard);
      if (stored?.assignment.owner === from) continue;
      this.#reader.startRead(shard, nowMs);
    }
    this.#nextPlanMs = nowMs;
  }

  #addNotices(notices: readonly AssignmentNotice[]): void {
    for (const notice of notices) {
      this.#notices.push(notice);
      const record = buildNoticeRecord(notice);
      if (record !== undefined) this.#effects.push({ kind: "log", record });
    }
  }
}
