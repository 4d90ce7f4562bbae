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
  type PlatformAnswer,
  type ShardAssignment,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import { RandomChooser } from "../membership/random.ts";
import { AssignmentTable } from "./assignment_table.ts";
import { Fleet } from "./fleet.ts";
import { GroupBook, type GroupState } from "./group_book.ts";
import {
  ASSIGNMENT_PREFIX,
  decodeGroup,
  encodeGroup,
  formatGroupKey,
  isShardAssignment,
} from "./group_codec.ts";
import {
  buildGainedRecord,
  buildLostRecord,
  buildProposedRecord,
} from "./log_records.ts";
import type {
  AssignmentInput,
  AssignmentNotice,
  AssignmentOptions,
  AssignmentStep,
  AssignmentView,
  StoredShard,
} from "./messages.ts";
import { NewsQueue } from "./news.ts";
import { type Offer, Offers } from "./offers.ts";
import { PendingNotes } from "./pending_notes.ts";
import type { PlannedChange } from "./plan_group.ts";
import { type OpenCall, PlatformCalls } from "./platform_calls.ts";
import { Proposer } from "./proposer.ts";
import { computeFraction, computeHash, sortByScore } from "./rendezvous.ts";
import {
  type AssignmentSettings,
  DEFAULT_ASSIGNMENT_SETTINGS,
} from "./settings.ts";

const MAX_DOUBLINGS = 8;

type WriteCall = Extract<OpenCall, { kind: "write" }>;

/** The shard assignment role of one node. */
export class ShardAssigner {
  readonly #self: AssignmentOptions["self"];
  readonly #settings: AssignmentSettings;
  readonly #table: AssignmentTable;
  readonly #groups: GroupBook;
  readonly #calls: PlatformCalls;
  readonly #notes: PendingNotes;
  readonly #proposer: Proposer;
  readonly #offers: Offers;
  readonly #news: NewsQueue;
  #startedAtMs: number | undefined;
  #isCutOff = true;
  #isLeaving = false;
  #isHandedOver = false;
  #isListing = false;
  #isWatcher = false;
  #isWatching = false;
  #watchPosition = 0;
  #nextWatchMs = 0;
  #nextPollMs: number | undefined;
  #nextPlanMs = 0;
  #nextRebalanceMs = 0;
  #effects: Effect[] = [];
  #notices: AssignmentNotice[] = [];

  constructor(options: AssignmentOptions) {
    const { self } = options;
    const settings = { ...DEFAULT_ASSIGNMENT_SETTINGS, ...options.settings };
    const random = new RandomChooser(computeHash(this.#formatName(self)));
    this.#self = self;
    this.#settings = settings;
    this.#table = new AssignmentTable(self);
    this.#groups = new GroupBook(settings);
    this.#calls = new PlatformCalls(settings, this.#formatName(self));
    this.#notes = new PendingNotes(settings, this.#table);
    this.#proposer = new Proposer({
      self,
      settings,
      table: this.#table,
      notes: this.#notes,
    });
    this.#offers = new Offers(settings);
    this.#news = new NewsQueue(settings, random);
  }

  /** Handles one input. */
  handle(input: AssignmentInput, nowMs: number): AssignmentStep {
    switch (input.kind) {
      case "membership":
        this.#setView(input.view);
        this.#isCutOff = input.isCutOff;
        break;
      case "peer":
        this.#handlePeer(input.from, { message: input.message, nowMs });
        break;
      case "platform":
        this.#handleAnswer(input.token.number, { answer: input.answer, nowMs });
        break;
      case "tick":
        this.#handleTick(nowMs);
        break;
      case "leave":
        this.#isLeaving = true;
        break;
      case "recovered":
        this.#addRecovered(input.shard, { epoch: input.epoch, nowMs });
        break;
      case "stale":
        this.#readIfOlder(input.shard, { epoch: input.knownEpoch, nowMs });
        break;
      default:
        checkNever(input);
    }
    return this.#takeStep();
  }

  /** Gets what is known of the owners. */
  view(): AssignmentView {
    return {
      ownerOf: (shard) => this.#table.find(shard),
      listOwned: () => this.#table.listOwned().map((each) => each.shard),
    };
  }

  #setView(view: MembershipView): void {
    if (!this.#proposer.getFleet().isChangedBy(view)) return;
    const fleet = new Fleet(view);
    this.#proposer.setFleet(fleet);
    this.#updateWatcher(fleet);
    this.#groups.setUnsettled();
  }

  #addRecovered(
    shard: ShardId,
    recovery: { epoch: Epoch; nowMs: number },
  ): void {
    const { epoch, nowMs } = recovery;
    const stored = this.#groups.findOf(shard)?.stored.get(shard);
    if (stored === undefined || stored.predecessors.length === 0) return;
    this.#notes.addRecovered(shard, { epoch, atMs: nowMs });
    this.#groups.setUnsettledOf(shard);
  }

  #handleTick(nowMs: number): void {
    this.#startedAtMs ??= nowMs;
    for (const call of this.#calls.takeTimedOut(nowMs)) {
      this.#handleFailure(call, nowMs);
    }
    if (this.#calls.canCall(nowMs)) this.#callPlatform(nowMs);
    this.#handOver(nowMs);
    this.#spreadNews();
  }

  #callPlatform(nowMs: number): void {
    this.#poll(nowMs);
    this.#watch(nowMs);
    this.#readGroups(nowMs);
    if (nowMs < this.#nextPlanMs) return;
    this.#nextPlanMs = nowMs + this.#settings.planPeriodMs;
    if (this.#canPropose(nowMs)) this.#propose(nowMs);
  }

  #canPropose(nowMs: number): boolean {
    const sinceMs = nowMs - (this.#startedAtMs ?? nowMs);
    return !this.#isCutOff && sinceMs >= this.#settings.settleMs;
  }

  #poll(nowMs: number): void {
    const { startSpreadMs } = this.#settings;
    const name = this.#formatName(this.#self);
    const fraction = computeFraction(`${name}|poll`);
    this.#nextPollMs ??= nowMs + fraction * startSpreadMs;
    if (this.#isListing || nowMs < this.#nextPollMs) return;
    this.#isListing = true;
    const limit = this.#groups.list().length;
    this.#call({ kind: "list" }, {
      request: { kind: "list", prefix: ASSIGNMENT_PREFIX, limit },
      nowMs,
    });
  }

  #watch(nowMs: number): void {
    if (this.#isWatching || nowMs < this.#nextWatchMs) return;
    if (!this.#isWatcher) return;
    this.#isWatching = true;
    const afterPosition = this.#watchPosition;
    this.#call({ kind: "watch" }, {
      request: { kind: "watch", prefix: ASSIGNMENT_PREFIX, afterPosition },
      nowMs,
    });
  }

  /** Finds out whether this node is one of the few of its region that watch. */
  #updateWatcher(fleet: Fleet): void {
    const { region, vmId } = this.#self;
    const near = fleet.candidates
      .filter((node) => node.spec.region === region)
      .map((node) => node.spec.vmId);
    const { watchersPerRegion } = this.#settings;
    const watchers = sortByScore("watch", near).slice(0, watchersPerRegion);
    this.#isWatcher = watchers.includes(vmId);
  }

  #readGroups(nowMs: number): void {
    for (const state of this.#groups.list()) {
      if (state.busy || state.readAtMs === undefined) continue;
      if (nowMs < state.readAtMs) continue;
      this.#read(state, nowMs);
    }
  }

  #read(state: GroupState, nowMs: number): void {
    state.busy = true;
    state.readAtMs = undefined;
    this.#call({ kind: "read", group: state.group }, {
      request: { kind: "get", key: formatGroupKey(state.group) },
      nowMs,
    });
  }

  #propose(nowMs: number): void {
    for (const state of this.#groups.list()) {
      if (state.busy || state.version === undefined) continue;
      if (state.readAtMs !== undefined || nowMs < state.proposeAtMs) continue;
      const decision = this.#proposer.decide(state, nowMs);
      if (decision.kind === "wait") continue;
      if (decision.kind === "read" || this.#hasFailedSince(state)) {
        this.#read(state, nowMs);
        continue;
      }
      if (!this.#calls.takeWrite(nowMs)) return;
      this.#write(state, { changes: decision.changes, nowMs });
    }
  }

  #hasFailedSince(state: GroupState): boolean {
    return this.#calls.hasFailedSince(state.learntAtMs);
  }

  #write(
    state: GroupState,
    plan: { changes: readonly PlannedChange[]; nowMs: number },
  ): void {
    const shards = new Map(state.stored);
    const replaced: ShardAssignment[] = [];
    for (const { stored } of plan.changes) {
      const { shard } = stored.assignment;
      const former = shards.get(shard);
      if (former !== undefined) replaced.push(former.assignment);
      shards.set(shard, stored);
    }
    const version = state.version ?? 0;
    const list = [...shards.values()];
    state.busy = true;
    this.#call(
      { kind: "write", group: state.group, shards: list, replaced },
      {
        request: {
          kind: "put",
          key: formatGroupKey(state.group),
          value: encodeGroup(list),
          condition: version === 0
            ? { kind: "absent" }
            : { kind: "version", version },
        },
        nowMs: plan.nowMs,
      },
    );
    const record = buildProposedRecord(state.group, plan.changes);
    this.#effects.push({ kind: "log", record });
  }

  #handleAnswer(
    number: number,
    given: { answer: PlatformAnswer; nowMs: number },
  ): void {
    const call = this.#calls.take(number);
    if (call === undefined) return;
    const { answer, nowMs } = given;
    if (answer.kind === "failed") {
      this.#handleFailure(call, nowMs);
      return;
    }
    this.#calls.recordSuccess();
    switch (call.kind) {
      case "list":
        this.#handleListed(answer, nowMs);
        break;
      case "watch":
        this.#handleChanged(answer, nowMs);
        break;
      case "read":
        this.#handleRead(call.group, { answer, nowMs });
        break;
      case "write":
        this.#handleWritten(call, { answer, nowMs });
        break;
      default:
        checkNever(call);
    }
  }

  #handleFailure(call: OpenCall, nowMs: number): void {
    this.#calls.recordFailure(nowMs);
    switch (call.kind) {
      case "list":
        this.#isListing = false;
        break;
      case "watch":
        this.#isWatching = false;
        break;
      case "read":
      case "write": {
        const state = this.#groups.find(call.group);
        if (state === undefined) return;
        state.busy = false;
        state.readAtMs = nowMs;
        break;
      }
      default:
        checkNever(call);
    }
  }

  #handleListed(answer: PlatformAnswer, nowMs: number): void {
    this.#isListing = false;
    const { pollPeriodMs, pollPeriodPerNodeMs } = this.#settings;
    const nodes = this.#proposer.getFleet().candidates.length;
    const periodMs = Math.max(pollPeriodMs, nodes * pollPeriodPerNodeMs);
    const jitter = computeFraction(`${this.#self.vmId}|${nowMs}`);
    this.#nextPollMs = nowMs + periodMs * (0.75 + jitter / 2);
    if (answer.kind !== "listed") return;
    this.#groups.applyKeys(answer.keys, nowMs);
    this.#groups.applyAbsent(answer.keys, nowMs);
  }

  #handleChanged(answer: PlatformAnswer, nowMs: number): void {
    this.#isWatching = false;
    if (answer.kind !== "changed") return;
    this.#watchPosition = answer.position;
    const { watchGatherMs } = this.#settings;
    this.#nextWatchMs = nowMs + watchGatherMs;
    this.#groups.applyKeys(answer.keys, nowMs + watchGatherMs);
  }

  #handleRead(
    group: number,
    given: { answer: PlatformAnswer; nowMs: number },
  ): void {
    const state = this.#groups.find(group);
    if (state === undefined) return;
    state.busy = false;
    const { answer, nowMs } = given;
    this.#nextPlanMs = nowMs;
    if (answer.kind === "absent") {
      state.version ??= 0;
      state.learntAtMs = nowMs;
    }
    if (answer.kind !== "found") return;
    const decoded = decodeGroup(answer.object.value);
    if (decoded.isErr()) return;
    const isFirst = state.version === undefined;
    const { version } = answer.object;
    this.#applyGroup(state, { version, shards: decoded.value, nowMs, isFirst });
  }

  #handleWritten(
    call: WriteCall,
    given: { answer: PlatformAnswer; nowMs: number },
  ): void {
    const state = this.#groups.find(call.group);
    if (state === undefined) return;
    state.busy = false;
    const { answer, nowMs } = given;
    if (answer.kind !== "stored") {
      this.#recordConflict(state, nowMs);
      return;
    }
    state.conflicts = 0;
    const { version } = answer;
    const { shards } = call;
    this.#tellConcerned(call, state);
    this.#applyGroup(state, { version, shards, nowMs, isFirst: false });
  }

  #recordConflict(state: GroupState, nowMs: number): void {
    state.conflicts += 1;
    state.readAtMs = nowMs;
    const { conflictBaseMs, conflictLimitMs } = this.#settings;
    const longestMs = Math.min(
      conflictBaseMs * 2 ** Math.min(state.conflicts, MAX_DOUBLINGS),
      conflictLimitMs,
    );
    const key = `${this.#self.vmId}|${state.group}|${state.conflicts}`;
    state.proposeAtMs = nowMs + computeFraction(key) * longestMs;
  }

  #tellConcerned(call: WriteCall, state: GroupState): void {
    const former = new Map(call.replaced.map((each) => [each.shard, each]));
    for (const { assignment } of call.shards) {
      const known = state.stored.get(assignment.shard)?.assignment;
      if (known?.epoch === assignment.epoch) continue;
      const before = former.get(assignment.shard);
      const concerned = new Set([
        assignment.owner,
        ...assignment.keepers,
        ...(before === undefined ? [] : [before.owner, ...before.keepers]),
      ]);
      concerned.delete(this.#self.vmId);
      for (const vmId of concerned) this.#news.addDirect(vmId, assignment);
    }
  }

  #forgetRecovered(stored: StoredShard): void {
    const { assignment, predecessors } = stored;
    if (predecessors.length > 0 || !this.#table.isOwn(assignment)) return;
    this.#notes.removeRecovered(assignment.shard);
  }

  #tellOwner(assignment: ShardAssignment): void {
    const { owner } = assignment;
    if (owner !== this.#self.vmId) this.#news.addDirect(owner, assignment);
  }

  #applyGroup(
    state: GroupState,
    read: {
      version: number;
      shards: readonly StoredShard[];
      nowMs: number;
      isFirst: boolean;
    },
  ): void {
    if (read.version < (state.version ?? 0)) return;
    state.version = read.version;
    state.isSettled = false;
    state.learntAtMs = read.nowMs;
    state.stored = new Map(
      read.shards.map((stored) => [stored.assignment.shard, stored]),
    );
    for (const stored of read.shards) {
      this.#forgetRecovered(stored);
      const isNews = this.#table.isNews(stored.assignment);
      this.#addNotices(this.#table.applyStored(stored));
      if (!isNews || read.isFirst) continue;
      this.#news.add(stored.assignment);
      this.#tellOwner(stored.assignment);
    }
  }

  #handlePeer(
    from: VmId,
    given: { message: MembershipMessage; nowMs: number },
  ): void {
    const { message, nowMs } = given;
    if (message.kind === "assignment_news") {
      this.#handleNews(message.assignments, nowMs);
    } else if (message.kind === "handover_offer") {
      this.#handleOffer(from, { shards: message.shards, nowMs });
    }
  }

  #handleNews(assignments: readonly ShardAssignment[], nowMs: number): void {
    for (const assignment of assignments) {
      if (!isShardAssignment(assignment)) continue;
      if (!this.#table.isNews(assignment)) continue;
      this.#addNotices(this.#table.applyNews(assignment));
      this.#groups.setUnsettledOf(assignment.shard);
      this.#news.add(assignment);
      if (this.#table.isOwn(assignment)) {
        this.#readSoon(assignment.shard, nowMs);
      }
    }
  }

  #handleOffer(
    from: VmId,
    offer: { shards: readonly ShardId[]; nowMs: number },
  ): void {
    if (this.#isLeaving) return;
    this.#notes.addOffer(from, offer);
    for (const shard of offer.shards) {
      this.#groups.setUnsettledOf(shard);
      const state = this.#groups.findOf(shard);
      const known = state?.stored.get(shard)?.assignment;
      if (known?.owner !== from) this.#readSoon(shard, offer.nowMs);
    }
    this.#nextPlanMs = offer.nowMs;
  }

  #readIfOlder(shard: ShardId, known: { epoch: number; nowMs: number }): void {
    const epoch = this.#table.find(shard)?.epoch ?? 0;
    if (epoch < known.epoch) this.#readSoon(shard, known.nowMs);
  }

  #readSoon(shard: ShardId, nowMs: number): void {
    const state = this.#groups.findOf(shard);
    if (state === undefined) return;
    const earliestMs = state.learntAtMs + this.#settings.readGapMs;
    state.readAtMs ??= Math.max(nowMs, earliestMs);
  }

  #handOver(nowMs: number): void {
    if (!this.#isLeaving && nowMs < this.#nextRebalanceMs) return;
    const owned = this.#table.listOwned();
    if (this.#isLeaving && owned.length === 0 && !this.#isHandedOver) {
      this.#isHandedOver = true;
      this.#notices.push({ kind: "handed_over" });
    }
    if (owned.length === 0) return;
    if (this.#isLeaving) {
      const context = this.#buildOfferContext(owned, nowMs);
      for (const offer of this.#offers.buildLeaving(context)) {
        this.#sendOffer(offer);
      }
      return;
    }
    if (!this.#canPropose(nowMs)) return;
    const { rebalancePeriodMs } = this.#settings;
    const jitter = computeFraction(`${this.#self.vmId}|even|${nowMs}`);
    this.#nextRebalanceMs = nowMs + rebalancePeriodMs * (0.5 + jitter);
    const context = this.#buildOfferContext(owned, nowMs);
    const offer = this.#offers.buildRebalancing(context);
    if (offer !== undefined) this.#sendOffer(offer);
  }

  #buildOfferContext(
    owned: readonly ShardAssignment[],
    nowMs: number,
  ): Parameters<Offers["buildLeaving"]>[0] {
    const fleet = this.#proposer.getFleet();
    const loads = this.#table.countLoads(fleet);
    return { owned, fleet, self: this.#self.vmId, loads, nowMs };
  }

  #sendOffer(offer: Offer): void {
    const { to, shards } = offer;
    const message = { kind: "handover_offer", shards } as const;
    this.#effects.push({ kind: "send_peer", to, message });
  }

  #spreadNews(): void {
    if (this.#news.isEmpty()) return;
    const others = this.#proposer.getFleet().candidateIds
      .filter((vmId) => vmId !== this.#self.vmId);
    this.#effects.push(...this.#news.takeMessages(others));
  }

  #addNotices(notices: readonly AssignmentNotice[]): void {
    for (const notice of notices) {
      this.#notices.push(notice);
      if (notice.kind === "gained") {
        const record = buildGainedRecord(notice.assignment);
        this.#effects.push({ kind: "log", record });
      } else if (notice.kind === "lost") {
        const record = buildLostRecord(notice.shard, notice.epoch);
        this.#effects.push({ kind: "log", record });
      }
    }
  }

  #call(
    call: OpenCall,
    sent: Parameters<PlatformCalls["open"]>[1],
  ): void {
    this.#effects.push(this.#calls.open(call, sent));
  }

  #formatName(self: AssignmentOptions["self"]): string {
    return `${self.vmId}|${self.incarnation}`;
  }

  #takeStep(): AssignmentStep {
    const step = { effects: this.#effects, notices: this.#notices };
    this.#effects = [];
    this.#notices = [];
    return step;
  }
}
