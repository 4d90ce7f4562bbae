/**
 * Finds out which nodes are alive, in the manner of SWIM.
 *
 * Each node sends heartbeats to a bounded random selection of the others. One
 * that doesn't answer is probed through third nodes, then suspected, and dead
 * unless it refutes. All of it spreads as rumours in the heartbeats and their
 * acknowledgements. The result only proposes changes of ownership.
 */
import {
  checkNever,
  type Effect,
  type MembershipMessage,
  type MembershipView,
  type NodeDigest,
  type Revision,
  type VmId,
  type VmListing,
} from "@camphorlock/types";
import { ContactOrder } from "./contacts.ts";
import { ContactBook } from "./contact_book.ts";
import { isMostlyUnreachable } from "./cut_off.ts";
import { buildNodeRecord } from "./log_records.ts";
import type {
  MembershipInput,
  MembershipNotice,
  MembershipOptions,
  MembershipStep,
} from "./messages.ts";
import { NodeTable } from "./node_table.ts";
import { Probes } from "./probes.ts";
import { RandomChooser } from "./random.ts";
import { RumourQueue } from "./rumours.ts";
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  type MembershipSettings,
} from "./settings.ts";

type Message<K extends MembershipMessage["kind"]> = Extract<
  MembershipMessage,
  { kind: K }
>;

interface Sender<K extends MembershipMessage["kind"]> {
  readonly from: VmId;
  readonly message: Message<K>;
}

/** The membership role of one node. */
export class Membership {
  readonly #settings: MembershipSettings;
  readonly #random: RandomChooser;
  readonly #table = new NodeTable();
  readonly #probes: Probes;
  readonly #rumours: RumourQueue;
  readonly #order: ContactOrder;
  readonly #contacts: ContactBook;
  #self: NodeDigest;
  #heartbeats = 0;
  #credit = 1;
  #lastTickMs: number | undefined;
  #lastDeadContactMs = 0;
  #unreachableSinceMs: number | undefined;
  #effects: Effect[] = [];
  #notices: MembershipNotice[] = [];

  constructor(options: MembershipOptions) {
    this.#settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ...options.settings };
    this.#random = new RandomChooser(options.seed);
    this.#probes = new Probes(this.#settings);
    this.#rumours = new RumourQueue(this.#settings.rumourRepeats);
    this.#order = new ContactOrder(this.#random);
    this.#contacts = new ContactBook(options.self.vmId);
    this.#self = { spec: options.self, state: "alive", number: 1, revision: 0 };
  }

  /** Handles one input. */
  handle(input: MembershipInput, nowMs: number): MembershipStep {
    switch (input.kind) {
      case "tick":
        this.#handleTick(nowMs);
        break;
      case "peer":
        this.#handlePeer(input.from, input.message, nowMs);
        break;
      case "vm_list":
        this.#handleVmList(input.vms);
        break;
      case "revision":
        this.#setRevision(input.revision);
        break;
      default:
        checkNever(input);
    }
    return this.#takeStep();
  }

  /** Tells the others that this node takes no new work. */
  announceLeaving(nowMs: number): MembershipStep {
    if (this.#self.state !== "leaving") {
      this.#restateSelf({ state: "leaving" });
      this.#sendBurst(nowMs);
    }
    return this.#takeStep();
  }

  /** Gets the present view, this node first. */
  view(): MembershipView {
    return this.#table.getView(this.#self);
  }

  /** Finds the `ip:port` of a node's peer protocol. */
  findPeerAddress(vmId: VmId): string | undefined {
    const known = this.#table.find(vmId)?.digest.spec.peerAddress;
    return known ?? this.#contacts.findAddress(vmId);
  }

  /** Whether most of the known nodes have been out of reach for long. */
  isCutOff(nowMs: number): boolean {
    const since = this.#unreachableSinceMs;
    return since !== undefined && nowMs - since >= this.#settings.cutOffAfterMs;
  }

  #handleTick(nowMs: number): void {
    const sinceMs = nowMs - (this.#lastTickMs ?? nowMs);
    this.#lastTickMs = nowMs;
    if (sinceMs > this.#settings.pauseGapMs) this.#probes.closeAll();
    this.#handleDueProbes(nowMs);
    this.#endSuspicions(nowMs);
    this.#removeForgotten(nowMs);
    this.#sendHeartbeats(Math.min(sinceMs, this.#settings.pauseGapMs), nowMs);
    this.#contactDead(nowMs);
    this.#updateReach(nowMs);
  }

  #handlePeer(from: VmId, message: MembershipMessage, nowMs: number): void {
    switch (message.kind) {
      case "heartbeat":
        this.#handleHeartbeat({ from, message }, nowMs);
        break;
      case "heartbeat_ack":
        this.#handleAck({ from, message }, nowMs);
        break;
      case "probe_request":
        this.#handleProbeRequest({ from, message }, nowMs);
        break;
      case "probe_result":
        if (message.reached) {
          this.#probes.closeReached(message.vmId, message.number);
        }
        break;
      case "assignment_news":
      case "handover_offer":
        break;
      default:
        checkNever(message);
    }
  }

  #handleHeartbeat(sender: Sender<"heartbeat">, nowMs: number): void {
    const { from, message } = sender;
    if (message.spec.vmId !== from) return;
    const statement: NodeDigest = {
      spec: message.spec,
      state: message.state,
      number: message.stateNumber,
      revision: message.revision,
    };
    this.#applyDigest([statement, ...message.digest], nowMs);
    this.#recordHeard(from, nowMs);
    const { catchUpShare } = this.#settings;
    const catchUp = message.knownNodes < this.#table.count() * catchUpShare;
    const digest = catchUp ? this.#buildCatchUp(from) : this.#buildDigest(from);
    this.#send(from, {
      kind: "heartbeat_ack",
      number: message.number,
      incarnation: this.#self.spec.incarnation,
      revision: this.#self.revision,
      digest,
    });
  }

  #handleAck(sender: Sender<"heartbeat_ack">, nowMs: number): void {
    const { from, message } = sender;
    this.#applyDigest(message.digest, nowMs);
    const record = this.#table.find(from);
    if (record === undefined) return;
    if (record.digest.spec.incarnation !== message.incarnation) return;
    this.#recordHeard(from, nowMs);
    const { digest } = record;
    this.#table.apply({ ...digest, revision: message.revision }, nowMs);
    const relay = this.#probes.takeRelay(from, message.number);
    if (relay === undefined) return;
    this.#send(relay.asker, {
      kind: "probe_result",
      vmId: relay.vmId,
      number: relay.askerNumber,
      reached: true,
    });
  }

  #handleProbeRequest(sender: Sender<"probe_request">, nowMs: number): void {
    const { from, message } = sender;
    const number = this.#sendHeartbeat(message.vmId);
    this.#probes.openRelay(number, {
      asker: from,
      askerNumber: message.number,
      vmId: message.vmId,
      nowMs,
    });
  }

  #handleVmList(vms: readonly VmListing[]): void {
    this.#contacts.setListed(vms);
    const leaving = vms.filter((vm) => vm.state === "leaving");
    this.#table.setListedLeaving(leaving.map((vm) => vm.vmId));
    if (leaving.some((vm) => vm.vmId === this.#self.spec.vmId)) {
      this.#notices.push({ kind: "self_listed_leaving" });
    }
  }

  #setRevision(revision: Revision): void {
    if (revision <= this.#self.revision) return;
    this.#self = { ...this.#self, revision };
  }

  #applyDigest(digest: readonly NodeDigest[], nowMs: number): void {
    for (const rumour of digest) {
      if (rumour.spec.vmId === this.#self.spec.vmId) this.#applyOwn(rumour);
      else this.#applyRumour(rumour, nowMs);
    }
  }

  #applyOwn(rumour: NodeDigest): void {
    const { incarnation } = rumour.spec;
    if (incarnation > this.#self.spec.incarnation) {
      this.#notices.push({ kind: "self_superseded", incarnation });
      return;
    }
    if (incarnation < this.#self.spec.incarnation) {
      this.#spread(this.#self.spec.vmId);
      return;
    }
    if (rumour.state !== "suspect" && rumour.state !== "dead") return;
    if (rumour.number < this.#self.number) return;
    this.#restateSelf({ number: rumour.number });
    this.#notices.push({ kind: "self_refuted" });
  }

  #applyRumour(rumour: NodeDigest, nowMs: number): void {
    const before = this.#table.find(rumour.spec.vmId)?.digest;
    const change = this.#table.apply(rumour, nowMs);
    const after = this.#table.find(rumour.spec.vmId)?.digest;
    if (after === undefined) return;
    const restated = before?.number !== after.number ||
      before.spec.incarnation !== after.spec.incarnation;
    if (change === undefined && !restated) return;
    this.#contacts.update(after);
    this.#spread(rumour.spec.vmId);
    if (change === undefined) return;
    if (change.to === "dead") this.#probes.close(change.vmId);
    this.#notices.push({ kind: "node_changed", change });
    const record = buildNodeRecord(change);
    this.#effects.push({ kind: "log", record });
  }

  #handleDueProbes(nowMs: number): void {
    for (const due of this.#probes.takeDue(nowMs)) {
      if (due.kind === "ask") this.#askThirdNodes(due.vmId, due.number);
      else this.#setState(due.vmId, { state: "suspect", nowMs });
    }
  }

  #askThirdNodes(vmId: VmId, number: number): void {
    const others = this.#contacts.listLiving().filter((each) => each !== vmId);
    const { probeNodes } = this.#settings;
    for (const other of this.#random.chooseSome(others, probeNodes)) {
      this.#send(other, { kind: "probe_request", vmId, number });
    }
  }

  #endSuspicions(nowMs: number): void {
    for (const record of this.#table.list()) {
      if (record.digest.state !== "suspect") continue;
      const forMs = nowMs - record.changedAtMs;
      if (forMs < this.#settings.suspicionTimeoutMs) continue;
      this.#setState(record.digest.spec.vmId, { state: "dead", nowMs });
    }
  }

  #setState(
    vmId: VmId,
    change: { state: "suspect" | "dead"; nowMs: number },
  ): void {
    const record = this.#table.find(vmId);
    if (record === undefined) return;
    const rumour = { ...record.digest, state: change.state };
    this.#applyRumour(rumour, change.nowMs);
  }

  #removeForgotten(nowMs: number): void {
    for (const record of this.#table.list()) {
      const { spec, state } = record.digest;
      if (state !== "dead") continue;
      const forMs = nowMs - record.changedAtMs;
      if (forMs < this.#settings.deadRetentionMs) continue;
      this.#table.remove(spec.vmId);
      this.#contacts.remove(spec.vmId);
    }
  }

  #sendHeartbeats(elapsedMs: number, nowMs: number): void {
    const contacts = this.#contacts.getReachable();
    const isSmall = contacts.size <= this.#settings.fullMeshLimit;
    const perPeriod = isSmall ? contacts.size : this.#settings.fanout;
    const earned = elapsedMs * perPeriod / this.#settings.heartbeatPeriodMs;
    this.#credit = Math.min(this.#credit + earned, perPeriod);
    const covers = isSmall ? "rounds" : "rounds_and_domains";
    while (this.#credit >= 1) {
      this.#credit -= 1;
      const next = this.#order.takeNext(contacts, covers);
      if (next !== undefined) this.#probe(next, nowMs);
    }
  }

  #sendBurst(nowMs: number): void {
    const contacts = this.#contacts.getReachable();
    const { fullMeshLimit, fanout } = this.#settings;
    const count = contacts.size <= fullMeshLimit ? contacts.size : fanout;
    for (let sent = 0; sent < count; sent += 1) {
      const next = this.#order.takeNext(contacts, "rounds");
      if (next !== undefined) this.#probe(next, nowMs);
    }
  }

  #contactDead(nowMs: number): void {
    const sinceMs = nowMs - this.#lastDeadContactMs;
    if (sinceMs < this.#settings.deadContactPeriodMs) return;
    this.#lastDeadContactMs = nowMs;
    const lost = this.#contacts.listLost();
    for (const vmId of this.#random.chooseSome(lost, 1)) {
      this.#sendHeartbeat(vmId);
      this.#table.recordContact(vmId, nowMs);
    }
  }

  #updateReach(nowMs: number): void {
    const lengthMs = this.#settings.cutOffAfterMs;
    const records = this.#table.list();
    if (!isMostlyUnreachable(records, { nowMs, lengthMs })) {
      this.#unreachableSinceMs = undefined;
      return;
    }
    this.#unreachableSinceMs ??= nowMs;
  }

  #probe(vmId: VmId, nowMs: number): void {
    const number = this.#sendHeartbeat(vmId);
    this.#table.recordContact(vmId, nowMs);
    if (this.#table.find(vmId) === undefined) return;
    this.#probes.open(vmId, { number, nowMs });
  }

  #sendHeartbeat(vmId: VmId): number {
    this.#heartbeats += 1;
    const { spec, state, revision, number } = this.#self;
    this.#send(vmId, {
      kind: "heartbeat",
      spec,
      state: state === "leaving" ? "leaving" : "alive",
      revision,
      number: this.#heartbeats,
      stateNumber: number,
      knownNodes: this.#table.count(),
      digest: this.#buildDigest(vmId),
    });
    return this.#heartbeats;
  }

  /** Builds the rumours for one node: first what it has to refute itself. */
  #buildDigest(to: VmId): NodeDigest[] {
    const digest: NodeDigest[] = [];
    const receiver = this.#table.find(to)?.digest;
    if (receiver?.state === "suspect" || receiver?.state === "dead") {
      digest.push(receiver);
    }
    for (const vmId of this.#rumours.take(this.#settings.digestLimit)) {
      const rumour = this.#findDigest(vmId);
      if (rumour !== undefined && vmId !== to) digest.push(rumour);
    }
    return digest;
  }

  #buildCatchUp(to: VmId): NodeDigest[] {
    const others = [...this.#table.list()].map((record) => record.digest);
    const { catchUpLimit } = this.#settings;
    const some = this.#random.chooseSome(others, catchUpLimit);
    return [this.#self, ...this.#buildDigest(to), ...some];
  }

  #findDigest(vmId: VmId): NodeDigest | undefined {
    if (vmId === this.#self.spec.vmId) return this.#self;
    return this.#table.find(vmId)?.digest;
  }

  #recordHeard(vmId: VmId, nowMs: number): void {
    this.#table.recordHeard(vmId, nowMs);
    this.#probes.close(vmId);
  }

  #restateSelf(change: { state?: "leaving"; number?: number }): void {
    const number = Math.max(this.#self.number, change.number ?? 0) + 1;
    const state = change.state ?? this.#self.state;
    this.#self = { ...this.#self, state, number };
    this.#spread(this.#self.spec.vmId);
  }

  #spread(vmId: VmId): void {
    this.#rumours.add(vmId, this.#table.count() + 1);
  }

  #send(to: VmId, message: MembershipMessage): void {
    this.#effects.push({ kind: "send_peer", to, message });
  }

  #takeStep(): MembershipStep {
    const step = { effects: this.#effects, notices: this.#notices };
    this.#effects = [];
    this.#notices = [];
    return step;
  }
}
