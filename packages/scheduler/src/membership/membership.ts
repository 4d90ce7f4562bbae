/**
 * Failure detection and membership, based on the SWIM protocol.
 *
 * Each node sends heartbeats to a bounded random selection of the others. If a
 * node doesn't acknowledge, third nodes probe it. If they don't reach it
 * either, it becomes suspect, and then dead unless it refutes the suspicion.
 * Heartbeats and acknowledgements carry these updates as gossip. Views only
 * serve to propose changes of ownership.
 */
import {
  checkNever,
  type Effect,
  type MembershipMessage,
  type MembershipView,
  type NodeDigest,
  type RevisionReport,
  type VmId,
  type VmListing,
} from "@camphorlock/types";
import { ContactTable } from "./contact_table.ts";
import { CutOffDetector } from "./cut_off_detector.ts";
import { GossipQueue } from "./gossip_queue.ts";
import { HeartbeatBuilder } from "./heartbeat_builder.ts";
import { buildNodeRecord } from "./log_records.ts";
import type {
  MembershipInput,
  MembershipNotice,
  MembershipOptions,
  MembershipStep,
} from "./messages.ts";
import { NodeTable } from "./node_table.ts";
import { HeartbeatPacer } from "./pacer.ts";
import { Probes } from "./probes.ts";
import { RandomChooser } from "./random.ts";
import { decodeProcesses } from "./revision_report.ts";
import { SelfStatement } from "./self_statement.ts";
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  type MembershipSettings,
} from "./settings.ts";

type Message<K extends MembershipMessage["kind"]> = Extract<
  MembershipMessage,
  { kind: K }
>;

interface Received<K extends MembershipMessage["kind"]> {
  readonly from: VmId;
  readonly message: Message<K>;
}

/** The membership role of one node. */
export class Membership {
  readonly #settings: MembershipSettings;
  readonly #random: RandomChooser;
  readonly #table = new NodeTable();
  readonly #probes: Probes;
  readonly #updates: GossipQueue;
  readonly #contacts: ContactTable;
  readonly #pacer: HeartbeatPacer;
  readonly #cutOffDetector: CutOffDetector;
  readonly #self: SelfStatement;
  readonly #builder: HeartbeatBuilder;
  #lastTickMs: number | undefined;
  #effects: Effect[] = [];
  #notices: MembershipNotice[] = [];

  constructor(options: MembershipOptions) {
    const settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ...options.settings };
    const random = new RandomChooser(options.seed);
    const contacts = new ContactTable(options.self.vmId);
    this.#settings = settings;
    this.#random = random;
    this.#probes = new Probes(settings);
    this.#updates = new GossipQueue(settings.gossipRepeats);
    this.#contacts = contacts;
    this.#pacer = new HeartbeatPacer(settings, { contacts, random });
    this.#cutOffDetector = new CutOffDetector(settings.cutOffAfterMs);
    this.#self = new SelfStatement(options.self);
    this.#builder = new HeartbeatBuilder({
      settings,
      random,
      table: this.#table,
      updates: this.#updates,
      self: this.#self,
    });
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
        this.#self.setRevision(input.revision);
        break;
      default:
        checkNever(input);
    }
    return this.#takeStep();
  }

  /** Announces to the other nodes that this one takes no new work. */
  startLeaving(nowMs: number): MembershipStep {
    if (this.#self.setLeaving()) {
      this.#addOwnUpdate();
      for (const vmId of this.#pacer.takeBurst()) this.#sendProbe(vmId, nowMs);
    }
    return this.#takeStep();
  }

  /** Gets the current view; its first node is this one. */
  view(): MembershipView {
    return this.#table.getView(this.#self.getDigest());
  }

  /** Finds the `ip:port` at which a node serves the peer protocol. */
  findPeerAddress(vmId: VmId): string | undefined {
    const known = this.#table.find(vmId)?.digest.spec.peerAddress;
    return known ?? this.#contacts.findAddress(vmId);
  }

  /** Whether most known nodes were unreachable for `cutOffAfterMs` or more. */
  isCutOff(nowMs: number): boolean {
    return this.#cutOffDetector.isCutOff(nowMs);
  }

  #handleTick(nowMs: number): void {
    const sinceMs = nowMs - (this.#lastTickMs ?? nowMs);
    this.#lastTickMs = nowMs;
    if (sinceMs > this.#settings.pauseGapMs) this.#probes.closeAll();
    this.#handleDueProbes(nowMs);
    this.#expireSuspicions(nowMs);
    this.#evictDead(nowMs);
    for (const vmId of this.#pacer.takeDue(sinceMs)) {
      this.#sendProbe(vmId, nowMs);
    }
    for (const vmId of this.#pacer.takeDead(nowMs)) {
      this.#sendRecordedHeartbeat(vmId, nowMs);
    }
    this.#cutOffDetector.update(this.#table.list(), nowMs);
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

  #handleHeartbeat(received: Received<"heartbeat">, nowMs: number): void {
    const { from, message } = received;
    if (message.spec.vmId !== from) return;
    const statement: NodeDigest = {
      spec: message.spec,
      state: message.state,
      number: message.stateNumber,
      revision: message.revision,
    };
    this.#applyDigest([statement, ...message.digest], nowMs);
    this.#recordReceived(from, nowMs);
    this.#applyReport(message.report);
    this.#send(from, this.#builder.buildAck(from, message));
  }

  #handleAck(received: Received<"heartbeat_ack">, nowMs: number): void {
    const { from, message } = received;
    this.#applyDigest(message.digest, nowMs);
    this.#applyReport(message.report);
    const record = this.#table.find(from);
    if (record === undefined) return;
    if (record.digest.spec.incarnation !== message.incarnation) return;
    this.#recordReceived(from, nowMs);
    const { digest } = record;
    this.#table.apply({ ...digest, revision: message.revision }, nowMs);
    const relay = this.#probes.takeRelay(from, message.number);
    if (relay === undefined) return;
    this.#send(relay.requester, {
      kind: "probe_result",
      vmId: relay.vmId,
      number: relay.requesterNumber,
      reached: true,
    });
  }

  #handleProbeRequest(
    received: Received<"probe_request">,
    nowMs: number,
  ): void {
    const { from, message } = received;
    const number = this.#sendHeartbeat(message.vmId);
    this.#probes.openRelay(number, {
      requester: from,
      requesterNumber: message.number,
      vmId: message.vmId,
      nowMs,
    });
  }

  #handleVmList(vms: readonly VmListing[]): void {
    this.#contacts.setListed(vms);
    const leaving = vms.filter((vm) => vm.state === "leaving");
    this.#table.setListedLeaving(leaving.map((vm) => vm.vmId));
    if (leaving.some((vm) => vm.vmId === this.#vmId)) {
      this.#notices.push({ kind: "self_listed_leaving" });
    }
  }

  #applyDigest(digest: readonly NodeDigest[], nowMs: number): void {
    for (const update of digest) {
      if (update.spec.vmId === this.#vmId) this.#applyOwn(update);
      else this.#applyUpdate(update, nowMs);
    }
  }

  #applyOwn(update: NodeDigest): void {
    const outcome = this.#self.applyUpdate(update);
    switch (outcome) {
      case "none":
        return;
      case "spread":
        return this.#addOwnUpdate();
      case "refuted":
        this.#notices.push({ kind: "self_refuted" });
        return this.#addOwnUpdate();
      case "superseded": {
        const { incarnation } = update.spec;
        this.#notices.push({ kind: "self_superseded", incarnation });
        return;
      }
      default:
        return checkNever(outcome);
    }
  }

  #applyUpdate(update: NodeDigest, nowMs: number): void {
    const before = this.#table.find(update.spec.vmId)?.digest;
    const change = this.#table.apply(update, nowMs);
    const after = this.#table.find(update.spec.vmId)?.digest;
    if (after === undefined) return;
    const restated = before?.number !== after.number ||
      before.spec.incarnation !== after.spec.incarnation;
    if (change === undefined && !restated) return;
    this.#contacts.update(after);
    this.#addUpdate(update.spec.vmId);
    if (change === undefined) return;
    if (change.to === "dead") this.#probes.close(change.vmId);
    this.#notices.push({ kind: "node_changed", change });
    const record = buildNodeRecord(change);
    this.#effects.push({ kind: "log", record });
  }

  #handleDueProbes(nowMs: number): void {
    for (const due of this.#probes.takeDue(nowMs)) {
      if (due.kind === "request") this.#sendProbeRequests(due.vmId, due.number);
      else this.#setState(due.vmId, { state: "suspect", nowMs });
    }
  }

  #sendProbeRequests(vmId: VmId, number: number): void {
    const others = this.#contacts.listLiving().filter((each) => each !== vmId);
    const { probeNodes } = this.#settings;
    for (const other of this.#random.chooseSome(others, probeNodes)) {
      this.#send(other, { kind: "probe_request", vmId, number });
    }
  }

  #expireSuspicions(nowMs: number): void {
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
    const update = { ...record.digest, state: change.state };
    this.#applyUpdate(update, change.nowMs);
  }

  #evictDead(nowMs: number): void {
    for (const record of this.#table.list()) {
      const { spec, state } = record.digest;
      if (state !== "dead") continue;
      const forMs = nowMs - record.changedAtMs;
      if (forMs < this.#settings.deadRetentionMs) continue;
      this.#table.remove(spec.vmId);
      this.#contacts.remove(spec.vmId);
    }
  }

  #sendProbe(vmId: VmId, nowMs: number): void {
    const number = this.#sendRecordedHeartbeat(vmId, nowMs);
    if (this.#table.find(vmId) === undefined) return;
    this.#probes.open(vmId, { number, nowMs });
  }

  #sendRecordedHeartbeat(vmId: VmId, nowMs: number): number {
    this.#table.recordContact(vmId, nowMs);
    return this.#sendHeartbeat(vmId);
  }

  #sendHeartbeat(vmId: VmId): number {
    const heartbeat = this.#builder.buildHeartbeat(vmId);
    this.#send(vmId, heartbeat);
    return heartbeat.number;
  }

  #applyReport(report: RevisionReport | undefined): void {
    if (report === undefined) return;
    const { revision, processes } = report;
    this.#table.applyReport(revision, decodeProcesses(processes));
  }

  #recordReceived(vmId: VmId, nowMs: number): void {
    this.#table.recordReceived(vmId, nowMs);
    this.#probes.close(vmId);
  }

  get #vmId(): VmId {
    return this.#self.getDigest().spec.vmId;
  }

  #addOwnUpdate(): void {
    this.#addUpdate(this.#vmId);
  }

  #addUpdate(vmId: VmId): void {
    this.#updates.add(vmId, this.#table.count() + 1);
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
