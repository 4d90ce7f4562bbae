/**
 * Keeps each shard owned by one live process.
 *
 * Assignments are stored on the platform in groups of shards, and only a
 * conditional update of a group changes them. The live nodes have an order for
 * each group, which decides which of them reassigns the shards of failed
 * owners. An owner replaces its own replicas, and offers its shards to others
 * when it leaves or owns too many. A few nodes watch the platform and forward
 * changes to the others.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type MembershipMessage,
  type MembershipView,
  type NodeSpec,
  type PlatformResponse,
  type ShardAssignment,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import { computeHash } from "../hash.ts";
import { RandomChooser } from "../membership/random.ts";
import { AssignmentTable } from "./assignment_table.ts";
import { Fleet } from "./fleet.ts";
import { decodeGroup, isShardAssignment } from "./group_codec.ts";
import { GroupReader } from "./group_reader.ts";
import { type GroupState, GroupTable } from "./group_table.ts";
import { GroupWriter, listAffected, type WriteCall } from "./group_writer.ts";
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
import { PendingChanges } from "./pending_changes.ts";
import { type PendingCall, PlatformCalls } from "./platform_calls.ts";
import { Proposer } from "./proposer.ts";
import {
  type AssignmentSettings,
  DEFAULT_ASSIGNMENT_SETTINGS,
} from "./settings.ts";
import { UpdateQueue } from "./update_queue.ts";

interface StoredGroup {
  readonly version: number;
  readonly shards: readonly StoredShard[];
}

/** The shard assignment role of one node. */
export class ShardAssigner {
  readonly #self: NodeSpec;
  readonly #settings: AssignmentSettings;
  readonly #table: AssignmentTable;
  readonly #groups: GroupTable;
  readonly #calls: PlatformCalls;
  readonly #reader: GroupReader;
  readonly #writer: GroupWriter;
  readonly #pendingChanges: PendingChanges;
  readonly #proposer: Proposer;
  readonly #handover: Handover;
  readonly #updates: UpdateQueue;
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
    const groups = new GroupTable(settings);
    const calls = new PlatformCalls(settings, name);
    const pendingChanges = new PendingChanges(settings, table);
    const random = new RandomChooser(computeHash(name));
    this.#self = self;
    this.#settings = settings;
    this.#table = table;
    this.#groups = groups;
    this.#calls = calls;
    this.#pendingChanges = pendingChanges;
    this.#reader = new GroupReader({ self, settings, groups, calls });
    this.#writer = new GroupWriter({ self, settings, calls });
    this.#proposer = new Proposer({ self, settings, table, pendingChanges });
    this.#handover = new Handover({ self, settings, table });
    this.#updates = new UpdateQueue(settings, random);
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

  /** Gets a view of the cached owners. */
  view(): AssignmentView {
    return {
      findAssignment: (shard) => this.#table.find(shard),
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
        return this.#handleResponse(input.token.number, input.answer);
      case "tick":
        return this.#handleTick();
      case "busy":
        this.#handover.setBusy(input.shards);
        break;
      case "leave":
        return this.#handover.startLeaving();
      case "recovered":
        return this.#addRecovery(input.shard, input.epoch);
      case "stale":
        return this.#scheduleReadIfStale(input.shard, input.knownEpoch);
      default:
        return checkNever(input);
    }
  }

  #setView(view: MembershipView): void {
    if (!this.#proposer.getFleet().isChangedBy(view)) return;
    const fleet = new Fleet(view);
    this.#proposer.setFleet(fleet);
    this.#reader.setFleet(fleet);
    this.#groups.setAllUnsettled();
  }

  #addRecovery(shard: ShardId, epoch: Epoch): void {
    const stored = this.#groups.findByShard(shard)?.stored.get(shard);
    if (stored === undefined || stored.predecessors.length === 0) return;
    this.#pendingChanges.addRecovery(shard, { epoch, atMs: this.#nowMs });
    this.#groups.setShardUnsettled(shard);
  }

  #scheduleReadIfStale(shard: ShardId, knownEpoch: Epoch): void {
    const epoch = this.#table.find(shard)?.epoch ?? 0;
    if (epoch < knownEpoch) this.#reader.scheduleRead(shard, this.#nowMs);
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
    this.#sendUpdates();
  }

  #canPropose(): boolean {
    const sinceMs = this.#nowMs - (this.#startedAtMs ?? this.#nowMs);
    return !this.#isCutOff && sinceMs >= this.#settings.startupDelayMs;
  }

  #sendProposals(): void {
    if (this.#nowMs < this.#nextPlanMs) return;
    this.#nextPlanMs = this.#nowMs + this.#settings.planPeriodMs;
    if (!this.#canPropose()) return;
    for (const state of this.#groups.list()) {
      if (state.isCallInFlight || state.version === undefined) continue;
      if (state.nextReadMs !== undefined) continue;
      if (this.#nowMs >= state.proposeAfterMs) this.#sendProposal(state);
    }
  }

  #sendProposal(state: GroupState): void {
    const nowMs = this.#nowMs;
    const decision = this.#proposer.chooseProposal(state, nowMs);
    if (decision.kind === "wait") return;
    if (decision.kind === "read") {
      this.#effects.push(this.#reader.buildRead(state, nowMs));
      return;
    }
    if (!this.#calls.acquireWrite(nowMs)) return;
    const { changes } = decision;
    this.#effects.push(this.#writer.buildWrite(state, { changes, nowMs }));
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
    if (this.#handover.takeCompletion()) {
      this.#notices.push({ kind: "handed_over" });
    }
  }

  #sendUpdates(): void {
    if (this.#updates.isEmpty()) return;
    const { candidateIds } = this.#proposer.getFleet();
    const others = candidateIds.filter((vmId) => vmId !== this.#self.vmId);
    this.#effects.push(...this.#updates.takeMessages(others));
  }

  #handleResponse(number: number, response: PlatformResponse): void {
    const call = this.#calls.takePending(number);
    if (call === undefined) return;
    if (response.kind === "failed") return this.#handleFailure(call);
    this.#calls.recordSuccess();
    switch (call.kind) {
      case "list":
        return this.#reader.handleList(response, this.#nowMs);
      case "watch":
        return this.#reader.handleWatch(response, this.#nowMs);
      case "read":
        return this.#handleRead(call.group, response);
      case "write":
        return this.#handleWrite(call, response);
      default:
        return checkNever(call);
    }
  }

  /** Schedules a read of the group, as an unconfirmed write may be stored. */
  #handleFailure(call: PendingCall): void {
    this.#calls.recordFailure(this.#nowMs);
    switch (call.kind) {
      case "list":
      case "watch":
        return this.#reader.handleFailure(call.kind);
      case "read":
      case "write": {
        const state = this.#groups.find(call.group);
        if (state === undefined) return;
        state.isCallInFlight = false;
        state.nextReadMs = this.#nowMs;
        return;
      }
      default:
        return checkNever(call);
    }
  }

  #handleRead(group: number, response: PlatformResponse): void {
    const state = this.#groups.find(group);
    if (state === undefined) return;
    state.isCallInFlight = false;
    this.#nextPlanMs = this.#nowMs;
    if (response.kind === "absent") {
      state.version ??= 0;
      state.confirmedAtMs = this.#nowMs;
    }
    if (response.kind !== "found") return;
    const decoded = decodeGroup(response.object.value);
    if (decoded.isErr()) return;
    const { version } = response.object;
    this.#applyGroup(state, { version, shards: decoded.value });
  }

  #handleWrite(call: WriteCall, response: PlatformResponse): void {
    const state = this.#groups.find(call.group);
    if (state === undefined) return;
    state.isCallInFlight = false;
    if (response.kind !== "stored") {
      this.#writer.recordConflict(state, this.#nowMs);
      return;
    }
    state.conflicts = 0;
    for (const { assignment, vmIds } of listAffected(call, state)) {
      vmIds.delete(this.#self.vmId);
      for (const vmId of vmIds) this.#updates.addDirect(vmId, assignment);
    }
    this.#applyGroup(state, { version: response.version, shards: call.shards });
  }

  #applyGroup(state: GroupState, group: StoredGroup): void {
    if (group.version < (state.version ?? 0)) return;
    const isFirst = state.version === undefined;
    state.version = group.version;
    state.isSettled = false;
    state.confirmedAtMs = this.#nowMs;
    state.stored = new Map(
      group.shards.map((stored) => [stored.assignment.shard, stored]),
    );
    for (const stored of group.shards) this.#applyStored(stored, isFirst);
  }

  #applyStored(stored: StoredShard, isFirst: boolean): void {
    const { assignment, predecessors } = stored;
    const isOwn = this.#table.isOwn(assignment);
    if (isOwn && predecessors.length === 0) {
      this.#pendingChanges.removeRecovery(assignment.shard);
    }
    const isNewer = this.#table.isNewer(assignment);
    this.#addNotices(this.#table.applyStored(stored));
    if (!isNewer || isFirst) return;
    this.#updates.add(assignment);
    if (!isOwn) this.#updates.addDirect(assignment.owner, assignment);
  }

  #handlePeer(from: VmId, message: MembershipMessage): void {
    if (message.kind === "assignment_news") {
      for (const assignment of message.assignments) this.#addUpdate(assignment);
    } else if (message.kind === "handover_offer") {
      this.#handleOffer(from, message.shards);
    }
  }

  #addUpdate(assignment: ShardAssignment): void {
    if (!isShardAssignment(assignment)) return;
    if (!this.#table.isNewer(assignment)) return;
    this.#addNotices(this.#table.applyUpdate(assignment));
    this.#groups.setShardUnsettled(assignment.shard);
    this.#updates.add(assignment);
    if (!this.#table.isOwn(assignment)) return;
    this.#reader.scheduleRead(assignment.shard, this.#nowMs);
  }

  #handleOffer(from: VmId, shards: readonly ShardId[]): void {
    if (this.#handover.isLeaving) return;
    const nowMs = this.#nowMs;
    this.#pendingChanges.addOffer(from, { shards, nowMs });
    for (const shard of shards) {
      this.#groups.setShardUnsettled(shard);
      const stored = this.#groups.findByShard(shard)?.stored.get(shard);
      if (stored?.assignment.owner === from) continue;
      this.#reader.scheduleRead(shard, nowMs);
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
