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
  type ConfigurationValue,
  type Effect,
  type LogFields,
  type PlatformAnswer,
  type Revision,
  type RevisionRecord,
} from "@camphorlock/types";
import type { Result } from "neverthrow";
import { Freshness } from "./freshness.ts";
import { RevisionHistory } from "./history.ts";
import { InForceReports } from "./in_force.ts";
import { buildInitialChange, INITIAL_REQUEST } from "./initial_change.ts";
import type {
  ChangeInput,
  ConfigurationInput,
  ConfigurationNotice,
  ConfigurationOptions,
  ConfigurationStep,
} from "./inputs.ts";
import { ConfigurationPeers } from "./peers.ts";
import { type CallPurpose, PlatformCalls } from "./platform_calls.ts";
import { PollSchedule } from "./poll_schedule.ts";
import { Proposals } from "./proposal.ts";
import type { ProposalStep } from "./proposal_step.ts";
import { RevisionReader } from "./reader.ts";
import { RevisionWatch } from "./revision_watch.ts";
import { RevisionSpreader } from "./spread.ts";

/** Revisions kept on the platform and by each node unless set otherwise. */
export const KEPT_REVISIONS = 2_048;

/** A peer heard from within this time counts as reached. */
export const HEARD_WITHIN_MS = 4_000;

/** The tick period that the role needs. */
export const CONFIGURATION_TICK_MS = 250;

/** The configuration role. */
export class Configuration {
  readonly #options: ConfigurationOptions;
  readonly #history: RevisionHistory;
  readonly #calls = new PlatformCalls();
  readonly #peers: ConfigurationPeers;
  readonly #spreader: RevisionSpreader;
  readonly #reader: RevisionReader;
  readonly #proposals: Proposals;
  readonly #freshness = new Freshness();
  readonly #reports = new InForceReports();
  readonly #watch = new RevisionWatch(this.#calls);
  readonly #polls: PollSchedule;
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
    this.#spreader = new RevisionSpreader(this.#history, this.#peers);
    this.#reader = new RevisionReader(this.#history, this.#calls);
    this.#proposals = new Proposals(this.#history, {
      calls: this.#calls,
      idPrefix: `${self}/${incarnation}`,
      keptRevisions,
    });
    this.#polls = new PollSchedule(`${self}/${incarnation}`);
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
        this.#effects.push(
          ...this.#spreader.handlePeer(input.from, input.message, { nowMs }),
        );
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
        this.#watch.setWanted(this.#peers.isWatcher());
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
    this.#sendInitial(nowMs);
  }

  /** Stores the deployment's first configuration where there's none. */
  #sendInitial(nowMs: number): void {
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
    this.#readIfDue(nowMs);
    this.#effects.push(...this.#watch.start(nowMs));
    this.#effects.push(...this.#spreader.sendRequest(nowMs));
    this.#notices.push(...this.#reports.takeDue(this.#peers, nowMs));
    const asked = this.#reports.listAsked(this.#peers, nowMs);
    this.#effects.push(...this.#spreader.sendRequests(asked));
  }

  #readIfDue(nowMs: number): void {
    const isDue = this.#polls.takeDue({
      nowMs,
      nodes: this.#peers.count + 1,
      hearsMost: this.#hasHeardMost(nowMs),
      headSeenAtMs: this.#reader.headSeenAtMs,
    });
    if (isDue) this.#effects.push(...this.#reader.start(nowMs));
  }

  #handleWatch(answer: PlatformAnswer, nowMs: number): void {
    const hasChanged = this.#watch.handleAnswer(answer, nowMs);
    if (hasChanged) this.#effects.push(...this.#reader.start(nowMs));
    this.#effects.push(...this.#watch.start(nowMs));
  }

  #updateFreshness(nowMs: number): void {
    const state = this.#freshness.update({
      revision: this.revision,
      highestHeard: this.#peers.highestRevision,
      headSeenAtMs: this.#reader.headSeenAtMs,
      platformFailedSinceMs: this.#reader.failedSinceMs,
      hearsMost: this.#hasHeardMost(nowMs),
    }, nowMs);
    if (state === "ready") {
      this.#notices.push({ kind: "ready", revision: this.revision });
    }
    if (state !== "cut_off") return;
    this.#notices.push({ kind: "cut_off" });
    this.#log(EVENTS.ConfigurationStale.event);
  }

  /** Tells the node and some peers of the revision that came into force. */
  #addInForceNotice(): void {
    const { revision, value } = this.#history;
    const fresh = this.#history.listAfter(this.#reportedRevision);
    const isSingle = revision === this.#reportedRevision + 1;
    this.#reportedRevision = revision;
    this.#notices.push({ kind: "in_force", revision, value });
    this.#log(EVENTS.ConfigurationInForce.event);
    const record = fresh.at(-1);
    if (record === undefined || !isSingle) return;
    this.#effects.push(...this.#spreader.sendAdopted(record));
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

  #hasHeardMost(nowMs: number): boolean {
    const withinMs = this.#options.heardWithinMs ?? HEARD_WITHIN_MS;
    return this.#peers.hasMost(nowMs - withinMs);
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
