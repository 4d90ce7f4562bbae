/**
 * The configuration role of a node: it holds the highest revision that the
 * node has received, stores the changes that operators submit at the node, and
 * propagates revisions between nodes.
 *
 * A node receives revisions in three ways: a peer that has just applied one
 * pushes it, the node requests it from a peer whose heartbeat reports a higher
 * one, or the node reads it from the platform. Only a few nodes of each region
 * watch the platform; the others poll it at a low rate.
 */
import { createFailure, EVENTS, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type ConfigurationValue,
  type Effect,
  type LogFields,
  type PlatformResponse,
  type Revision,
  type RevisionRecord,
} from "@camphorlock/types";
import type { Result } from "neverthrow";
import { FreshnessTracker } from "./freshness.ts";
import { RevisionHistory } from "./history.ts";
import { InForceTracker } from "./in_force_tracker.ts";
import { buildInitialChange, INITIAL_REQUEST } from "./initial_change.ts";
import type {
  ChangeInput,
  ConfigurationInput,
  ConfigurationNotice,
  ConfigurationOptions,
  ConfigurationStep,
} from "./inputs.ts";
import { ConfigurationPeers } from "./configuration_peers.ts";
import { type CallPurpose, PlatformCalls } from "./platform_calls.ts";
import { PollSchedule } from "./poll_schedule.ts";
import { ProposalQueue } from "./proposal.ts";
import type { ProposalStep } from "./proposal_step.ts";
import { RevisionReader } from "./revision_reader.ts";
import { RevisionWatch } from "./revision_watch.ts";
import { RevisionPropagator } from "./revision_propagator.ts";

/** Default number of revisions kept on the platform and by each node. */
export const DEFAULT_KEPT_REVISIONS = 2_048;

/** A peer counts as reachable for this long after its last message. */
export const REACHABLE_WITHIN_MS = 4_000;

/** Interval at which the role needs a tick. */
export const CONFIGURATION_TICK_MS = 250;

/** The configuration role. */
export class Configuration {
  readonly #options: ConfigurationOptions;
  readonly #history: RevisionHistory;
  readonly #calls = new PlatformCalls();
  readonly #peers: ConfigurationPeers;
  readonly #propagator: RevisionPropagator;
  readonly #reader: RevisionReader;
  readonly #proposals: ProposalQueue;
  readonly #freshness = new FreshnessTracker();
  readonly #inForceTracker = new InForceTracker();
  readonly #watch = new RevisionWatch(this.#calls);
  readonly #pollSchedule: PollSchedule;
  #initialProposed = false;
  #reportedRevision: Revision = 0;
  #effects: Effect[] = [];
  #notices: ConfigurationNotice[] = [];

  constructor(options: ConfigurationOptions) {
    const { self, incarnation, region } = options;
    const keptRevisions = options.keptRevisions ?? DEFAULT_KEPT_REVISIONS;
    this.#options = options;
    this.#history = new RevisionHistory(keptRevisions);
    this.#peers = new ConfigurationPeers(self, region);
    this.#propagator = new RevisionPropagator(this.#history, this.#peers);
    this.#reader = new RevisionReader(this.#history, this.#calls);
    this.#proposals = new ProposalQueue(this.#history, {
      calls: this.#calls,
      idPrefix: `${self}/${incarnation}`,
      keptRevisions,
    });
    this.#pollSchedule = new PollSchedule(`${self}/${incarnation}`);
  }

  /** The highest revision that this node has applied. It never decreases. */
  get revision(): Revision {
    return this.#history.revision;
  }

  /** The configuration in force on this node. */
  get value(): ConfigurationValue {
    return this.#history.value;
  }

  /** Whether the node's configuration is fresh enough to serve. */
  get isReady(): boolean {
    return this.#freshness.state === "ready";
  }

  /** Returns the configuration as of a revision that the node still holds. */
  getValueAsOf(revision: Revision): Result<ConfigurationValue, Failure> {
    return this.#history.getValueAsOf(revision);
  }

  /** Lists the revisions that the node holds, oldest first. */
  listRecords(): readonly RevisionRecord[] {
    return this.#history.listAfter(0);
  }

  /** Handles one input and returns the resulting effects and notices. */
  handle(input: ConfigurationInput, nowMs: number): ConfigurationStep {
    switch (input.kind) {
      case "peer":
        this.#effects.push(
          ...this.#propagator.handlePeer(input.from, input.message, { nowMs }),
        );
        break;
      case "platform":
        this.#handleResponse(this.#calls.takePurpose(input.token), {
          answer: input.answer,
          nowMs,
        });
        break;
      case "tick":
        this.#handleTick(nowMs);
        break;
      case "members":
        this.#peers.update(input);
        this.#watch.setEnabled(this.#peers.isWatcher());
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
    if (this.#history.revision > this.#reportedRevision) {
      this.#addInForceNotice();
    }
    if (canChangeFreshness(input)) this.#updateFreshness(nowMs);
    return this.#takeStep();
  }

  #handleResponse(
    purpose: CallPurpose | undefined,
    event: { readonly answer: PlatformResponse; readonly nowMs: number },
  ): void {
    const { answer: response, nowMs } = event;
    switch (purpose) {
      case "reader":
        this.#effects.push(...this.#reader.handleResponse(response, nowMs));
        this.#handleHead(nowMs);
        return;
      case "proposal":
        this.#addStep(this.#proposals.handleResponse(response, nowMs), nowMs);
        return;
      case "watch":
        this.#handleWatchResponse(response, nowMs);
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
    this.#addInitialChange(nowMs);
  }

  /** Proposes the initial configuration if no revision is stored. */
  #addInitialChange(nowMs: number): void {
    const { initial } = this.#options;
    if (initial === undefined || this.#initialProposed) return;
    if (this.#history.revision > 0) return;
    this.#initialProposed = true;
    const change = buildInitialChange(this.#options, initial);
    this.#addStep(this.#proposals.add(change, nowMs), nowMs);
  }

  #handleChange(input: ChangeInput, nowMs: number): void {
    if (this.isReady) {
      this.#addStep(this.#proposals.add(input, nowMs), nowMs);
      return;
    }
    const detail = "the node may not hold the latest configuration";
    const failure = createFailure("NodeNotReady", detail);
    const { requestId } = input;
    this.#notices.push({ kind: "change_refused", requestId, failure });
  }

  #handleTick(nowMs: number): void {
    for (const purpose of this.#calls.takeTimedOutPurposes(nowMs)) {
      const lost = { kind: "failed", reason: "lost" } as const;
      this.#handleResponse(purpose, { answer: lost, nowMs });
    }
    this.#effects.push(...this.#reader.handleTick(nowMs));
    this.#addStep(this.#proposals.handleTick(nowMs), nowMs);
    this.#readIfDue(nowMs);
    this.#effects.push(...this.#watch.start(nowMs));
    this.#effects.push(...this.#propagator.sendRequest(nowMs));
    this.#notices.push(...this.#inForceTracker.takeDue(this.#peers, nowMs));
    const unreported = this.#inForceTracker.takeUnreported(this.#peers, nowMs);
    this.#effects.push(...this.#propagator.sendRequests(unreported));
  }

  #readIfDue(nowMs: number): void {
    const isDue = this.#pollSchedule.takeDue({
      nowMs,
      nodes: this.#peers.count + 1,
      isMajorityReachable: this.#isMajorityReachable(nowMs),
      headSeenAtMs: this.#reader.headSeenAtMs,
    });
    if (isDue) this.#effects.push(...this.#reader.start(nowMs));
  }

  #handleWatchResponse(response: PlatformResponse, nowMs: number): void {
    const hasChanged = this.#watch.handleResponse(response, nowMs);
    if (hasChanged) this.#effects.push(...this.#reader.start(nowMs));
    this.#effects.push(...this.#watch.start(nowMs));
  }

  #updateFreshness(nowMs: number): void {
    const state = this.#freshness.update({
      revision: this.revision,
      highestReported: this.#peers.highestRevision,
      headSeenAtMs: this.#reader.headSeenAtMs,
      platformFailedSinceMs: this.#reader.failedSinceMs,
      isMajorityReachable: this.#isMajorityReachable(nowMs),
    }, nowMs);
    if (state === "ready") {
      this.#notices.push({ kind: "ready", revision: this.revision });
    }
    if (state !== "cut_off") return;
    this.#notices.push({ kind: "cut_off" });
    this.#log(EVENTS.ConfigurationStale.event);
  }

  /** Notifies the node of the new revision, and pushes it to some peers. */
  #addInForceNotice(): void {
    const { revision, value } = this.#history;
    const newRecords = this.#history.listAfter(this.#reportedRevision);
    const isSingle = revision === this.#reportedRevision + 1;
    this.#reportedRevision = revision;
    this.#notices.push({ kind: "in_force", revision, value });
    this.#log(EVENTS.ConfigurationInForce.event);
    const record = newRecords.at(-1);
    if (record === undefined || !isSingle) return;
    this.#effects.push(...this.#propagator.sendUpdate(record));
  }

  #addStep(step: ProposalStep, nowMs: number): void {
    this.#effects.push(...step.effects);
    for (const notice of step.notices) this.#addNotice(notice, nowMs);
    if (step.needsRead) this.#effects.push(...this.#reader.start(nowMs));
  }

  #addNotice(notice: ConfigurationNotice, nowMs: number): void {
    if (notice.kind === "change_accepted") {
      this.#inForceTracker.add(notice, nowMs);
      this.#log(EVENTS.ChangeAccepted.event, { changeId: notice.changeId });
    }
    if (notice.kind === "change_refused") {
      const { detail } = notice.failure;
      this.#log(EVENTS.ChangeRefused.event, { detail });
      // The platform was down, or another node has stored the first revision.
      if (notice.requestId === INITIAL_REQUEST) this.#initialProposed = false;
    }
    this.#notices.push(notice);
  }

  #isMajorityReachable(nowMs: number): boolean {
    const withinMs = this.#options.reachableWithinMs ?? REACHABLE_WITHIN_MS;
    return this.#peers.isMajorityReachable(nowMs - withinMs);
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

/** Heartbeats are too frequent to re-evaluate all peers at each one. */
function canChangeFreshness(input: ConfigurationInput): boolean {
  return input.kind !== "peer_revision";
}
