/**
 * The configuration role of a node: it keeps the highest revision that the
 * node has seen, stores the changes of the node's operators, and spreads
 * revisions between nodes.
 *
 * Revisions reach a node in three ways: pushed by a peer that has just adopted
 * them, asked for when a heartbeat shows a higher one, and read from the
 * platform. Only a few nodes of each region watch the platform; the others
 * poll it slowly.
 */
import { createFailure, EVENTS, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type ConfigurationMessage,
  type ConfigurationValue,
  type Effect,
  type LogFields,
  type PlatformAnswer,
  type Revision,
  type RevisionRecord,
  type VmId,
} from "@camphorlock/types";
import type { Result } from "neverthrow";
import { Freshness } from "./freshness.ts";
import { RevisionHistory } from "./history.ts";
import { InForceReports } from "./in_force.ts";
import type {
  ChangeInput,
  ConfigurationInput,
  ConfigurationNotice,
  ConfigurationOptions,
  ConfigurationStep,
} from "./inputs.ts";
import { ConfigurationPeers } from "./peers.ts";
import { type CallPurpose, PlatformCalls } from "./platform_calls.ts";
import { Proposals, type ProposalStep } from "./proposal.ts";
import { RevisionReader } from "./reader.ts";
import { computeRank } from "./rank.ts";
import { decodeRecord, encodeRecord, REVISION_PREFIX } from "./record.ts";

/** Revisions kept on the platform and by each node unless set otherwise. */
export const KEPT_REVISIONS = 2_048;

/** A peer heard from within this time counts as reached. */
export const HEARD_WITHIN_MS = 4_000;

/** The tick period that the role needs. */
export const CONFIGURATION_TICK_MS = 250;

const REQUEST_RETRY_MS = 1_000;
const POLL_MS_PER_NODE = 100;
const SHORTEST_POLL_MS = 5_000;
const LONGEST_POLL_MS = 60_000;
const LONELY_POLL_MS = 2_000;
const WATCH_RETRY_MS = 1_000;

/** In place of a record, where an offer only reports the revision. */
const NO_RECORD = new Uint8Array(0);

/** The request under which the initial configuration is stored. */
const INITIAL_REQUEST = "initial";

type WatchState =
  | { readonly kind: "none" }
  | { readonly kind: "waiting" }
  | { readonly kind: "paused"; readonly untilMs: number };

/** The configuration role. */
export class Configuration {
  readonly #options: ConfigurationOptions;
  readonly #history: RevisionHistory;
  readonly #calls = new PlatformCalls();
  readonly #peers: ConfigurationPeers;
  readonly #reader: RevisionReader;
  readonly #proposals: Proposals;
  readonly #freshness = new Freshness();
  readonly #reports = new InForceReports();
  readonly #jitter: number;
  #watch: WatchState = { kind: "none" };
  #watchPosition = 0;
  #isWatcher = true;
  #nextPollMs = 0;
  #request = { sentAtMs: -REQUEST_RETRY_MS, tries: 0 };
  #initialProposed = false;
  #reportedRevision: Revision = 0;
  #effects: Effect[] = [];
  #notices: ConfigurationNotice[] = [];

  constructor(options: ConfigurationOptions) {
    const { self, incarnation, region } = options;
    const keptRevisions = options.keptRevisions ?? KEPT_REVISIONS;
    this.#options = options;
    this.#history = new RevisionHistory(keptRevisions);
    this.#peers = new ConfigurationPeers(self, region);
    this.#reader = new RevisionReader(this.#history, this.#calls);
    this.#proposals = new Proposals(this.#history, {
      calls: this.#calls,
      idPrefix: `${self}/${incarnation}`,
      keptRevisions,
    });
    this.#jitter = computeRank(`${self}/${incarnation}`) / 2 ** 32;
  }

  /** The highest revision that this node has seen; it never goes down. */
  get revision(): Revision {
    return this.#history.revision;
  }

  /** The configuration in force on this node. */
  get value(): ConfigurationValue {
    return this.#history.value;
  }

  /** Whether the node may serve under its configuration. */
  get isReady(): boolean {
    return this.#freshness.state === "ready";
  }

  /** Gives the configuration as of a revision that the node still holds. */
  getValueAsOf(revision: Revision): Result<ConfigurationValue, Failure> {
    return this.#history.getValueAsOf(revision);
  }

  /** Lists the revisions that the node holds, the oldest first. */
  listRecords(): readonly RevisionRecord[] {
    return this.#history.listAfter(0);
  }

  /** Takes one input and gives what has to be done. */
  handle(input: ConfigurationInput, nowMs: number): ConfigurationStep {
    switch (input.kind) {
      case "peer":
        this.#handlePeer(input.from, input.message, nowMs);
        break;
      case "platform":
        this.#handleAnswer(this.#calls.take(input.token), {
          answer: input.answer,
          nowMs,
        });
        break;
      case "tick":
        this.#handleTick(nowMs);
        break;
      case "members":
        this.#peers.update(input);
        this.#isWatcher = this.#peers.isWatcher();
        break;
      case "peer_revision":
        this.#peers.record(input.vmId, { revision: input.revision, nowMs });
        break;
      case "change":
        this.#handleChange(input, nowMs);
        break;
      default:
        checkNever(input);
    }
    if (this.#history.revision > this.#reportedRevision) this.#reportInForce();
    if (canChangeFreshness(input)) this.#updateFreshness(nowMs);
    return this.#takeStep();
  }

  #handlePeer(
    from: VmId,
    message: ConfigurationMessage,
    nowMs: number,
  ): void {
    switch (message.kind) {
      case "configuration_request":
        this.#peers.record(from, { revision: message.afterRevision, nowMs });
        this.#answerRequest(from, message.afterRevision);
        return;
      case "configuration_offer":
        this.#peers.record(from, { revision: message.revision, nowMs });
        this.#adoptOffer(message.value);
        return;
      default:
        checkNever(message);
    }
  }

  /** Sends what the peer misses, or the own revision where that's nothing. */
  #answerRequest(from: VmId, afterRevision: Revision): void {
    const missing = this.#history.encodeAfter(afterRevision);
    const report = { revision: this.revision, bytes: NO_RECORD };
    for (const each of missing.length > 0 ? missing : [report]) {
      this.#sendOffer(from, each);
    }
  }

  #sendOffer(
    to: VmId,
    offer: { readonly revision: Revision; readonly bytes: Uint8Array },
  ): void {
    const { revision, bytes: value } = offer;
    this.#sendPeer(to, { kind: "configuration_offer", revision, value });
  }

  #adoptOffer(value: Uint8Array): void {
    if (value.length === 0) return;
    const record = decodeRecord(value);
    if (record.isOk()) this.#history.apply(record.value);
  }

  #handleAnswer(
    purpose: CallPurpose | undefined,
    event: { readonly answer: PlatformAnswer; readonly nowMs: number },
  ): void {
    const { answer, nowMs } = event;
    switch (purpose) {
      case "reader":
        this.#effects.push(...this.#reader.handleAnswer(answer, nowMs));
        this.#handleHead(nowMs);
        return;
      case "proposal":
        this.#addStep(this.#proposals.handleAnswer(answer, nowMs), nowMs);
        return;
      case "watch":
        this.#handleWatch(answer, nowMs);
        return;
      case "trim":
      case undefined:
        return;
      default:
        checkNever(purpose);
    }
  }

  #handleHead(nowMs: number): void {
    if (!this.#reader.isIdle) return;
    this.#addStep(this.#proposals.handleHead(nowMs), nowMs);
    this.#proposeInitial(nowMs);
  }

  /** Stores the deployment's first configuration where there's none. */
  #proposeInitial(nowMs: number): void {
    const { initial, self } = this.#options;
    if (initial === undefined || this.#initialProposed) return;
    if (this.#history.revision > 0) return;
    this.#initialProposed = true;
    const change: ChangeInput = {
      kind: "change",
      requestId: INITIAL_REQUEST,
      changeId: `initial/${self}/${this.#options.incarnation}`,
      change: { kind: "import_configuration", value: initial.value },
      text: "import initial configuration",
      by: initial.by,
      ifRevision: 0,
      atMs: initial.atMs,
    };
    this.#addStep(this.#proposals.add(change, nowMs), nowMs);
  }

  #handleChange(input: ChangeInput, nowMs: number): void {
    if (this.isReady) {
      this.#addStep(this.#proposals.add(input, nowMs), nowMs);
      return;
    }
    const detail = "the node doesn't know the latest configuration";
    const failure = createFailure("NodeNotReady", detail);
    const { requestId } = input;
    this.#notices.push({ kind: "change_refused", requestId, failure });
  }

  #handleTick(nowMs: number): void {
    for (const purpose of this.#calls.takeExpired(nowMs)) {
      const answer = { kind: "failed", reason: "lost" } as const;
      this.#handleAnswer(purpose, { answer, nowMs });
    }
    this.#effects.push(...this.#reader.handleTick(nowMs));
    this.#addStep(this.#proposals.handleTick(nowMs), nowMs);
    this.#poll(nowMs);
    this.#updateWatch(nowMs);
    this.#requestMissing(nowMs);
    this.#notices.push(...this.#reports.takeDue(this.#peers, nowMs));
    this.#askMissing(nowMs);
  }

  /** Asks the nodes that haven't reported an accepted change yet. */
  #askMissing(nowMs: number): void {
    const afterRevision = this.revision;
    for (const vmId of this.#reports.listAsked(this.#peers, nowMs)) {
      this.#sendPeer(vmId, { kind: "configuration_request", afterRevision });
    }
  }

  #poll(nowMs: number): void {
    const hearsMost = this.#hearsMost(nowMs);
    const seenAtMs = this.#reader.headSeenAtMs ?? -Infinity;
    const isLonely = !hearsMost && nowMs - seenAtMs >= LONELY_POLL_MS;
    if (nowMs < this.#nextPollMs && !isLonely) return;
    this.#nextPollMs = nowMs + this.#computePollMs();
    this.#effects.push(...this.#reader.start(nowMs));
  }

  #computePollMs(): number {
    const wantedMs = (this.#peers.count + 1) * POLL_MS_PER_NODE;
    const periodMs = Math.max(
      SHORTEST_POLL_MS,
      Math.min(wantedMs, LONGEST_POLL_MS),
    );
    return Math.round(periodMs * (0.75 + this.#jitter / 2));
  }

  #updateWatch(nowMs: number): void {
    if (!this.#isWatcher || this.#watch.kind === "waiting") return;
    if (this.#watch.kind === "paused" && this.#watch.untilMs > nowMs) return;
    this.#watch = { kind: "waiting" };
    const request = {
      kind: "watch",
      prefix: REVISION_PREFIX,
      afterPosition: this.#watchPosition,
    } as const;
    const options = { purpose: "watch", nowMs } as const;
    this.#effects.push(this.#calls.send(request, options));
  }

  #handleWatch(answer: PlatformAnswer, nowMs: number): void {
    const isNews = answer.kind === "changed" &&
      (answer.keys.length > 0 || answer.position > this.#watchPosition);
    if (!isNews) {
      this.#watch = { kind: "paused", untilMs: nowMs + WATCH_RETRY_MS };
      return;
    }
    this.#watchPosition = answer.position;
    this.#watch = { kind: "none" };
    this.#effects.push(...this.#reader.start(nowMs));
    this.#updateWatch(nowMs);
  }

  #requestMissing(nowMs: number): void {
    const highest = this.#peers.highestRevision;
    if (highest <= this.revision) {
      this.#request = { sentAtMs: this.#request.sentAtMs, tries: 0 };
      return;
    }
    if (nowMs - this.#request.sentAtMs < REQUEST_RETRY_MS) return;
    const { tries } = this.#request;
    const from = this.#peers.findAhead(this.revision, tries);
    if (from === undefined) return;
    this.#request = { sentAtMs: nowMs, tries: tries + 1 };
    const afterRevision = this.revision;
    this.#sendPeer(from, { kind: "configuration_request", afterRevision });
  }

  #updateFreshness(nowMs: number): void {
    const state = this.#freshness.update({
      revision: this.revision,
      highestHeard: this.#peers.highestRevision,
      headSeenAtMs: this.#reader.headSeenAtMs,
      platformFailedSinceMs: this.#reader.failedSinceMs,
      hearsMost: this.#hearsMost(nowMs),
    }, nowMs);
    if (state === "ready") {
      this.#notices.push({ kind: "ready", revision: this.revision });
    }
    if (state !== "cut_off") return;
    this.#notices.push({ kind: "cut_off" });
    this.#log(EVENTS.ConfigurationStale.event);
  }

  /** Tells the node and some peers of the revision that came into force. */
  #reportInForce(): void {
    const { revision, value } = this.#history;
    const fresh = this.#history.listAfter(this.#reportedRevision);
    const isSingle = revision === this.#reportedRevision + 1;
    this.#reportedRevision = revision;
    this.#notices.push({ kind: "in_force", revision, value });
    this.#log(EVENTS.ConfigurationInForce.event);
    const record = fresh.at(-1);
    if (record === undefined || !isSingle) return;
    const bytes = encodeRecord(record);
    for (const vmId of this.#peers.choosePushed(revision)) {
      this.#sendOffer(vmId, { revision, bytes });
    }
  }

  #addStep(step: ProposalStep, nowMs: number): void {
    this.#effects.push(...step.effects);
    for (const notice of step.notices) this.#addNotice(notice, nowMs);
    if (step.needsRead) this.#effects.push(...this.#reader.start(nowMs));
  }

  #addNotice(notice: ConfigurationNotice, nowMs: number): void {
    if (notice.kind === "change_accepted") {
      this.#reports.add(notice, nowMs);
      this.#log(EVENTS.ChangeAccepted.event, { changeId: notice.changeId });
    }
    if (notice.kind === "change_refused") {
      const { detail } = notice.failure;
      this.#log(EVENTS.ChangeRefused.event, { detail });
      // Refused only while another node stored one or the platform was down.
      if (notice.requestId === INITIAL_REQUEST) this.#initialProposed = false;
    }
    this.#notices.push(notice);
  }

  #hearsMost(nowMs: number): boolean {
    const withinMs = this.#options.heardWithinMs ?? HEARD_WITHIN_MS;
    return this.#peers.hasMost(nowMs - withinMs);
  }

  #sendPeer(to: VmId, message: ConfigurationMessage): void {
    this.#effects.push({ kind: "send_peer", to, message });
  }

  #log(event: number, details: LogFields = {}): void {
    const fields = { revision: this.revision, ...details };
    this.#effects.push({ kind: "log", record: { event, fields } });
  }

  #takeStep(): ConfigurationStep {
    const notices = this.#notices.filter((notice) => {
      return !("requestId" in notice) || notice.requestId !== INITIAL_REQUEST;
    });
    const step = { effects: this.#effects, notices };
    this.#effects = [];
    this.#notices = [];
    return step;
  }
}

/** Heartbeats are too many to judge the state of all nodes at each. */
function canChangeFreshness(input: ConfigurationInput): boolean {
  return input.kind !== "peer_revision";
}
