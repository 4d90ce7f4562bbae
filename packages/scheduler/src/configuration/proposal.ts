/**
 * Stores the changes that operators submit at this node, one at a time.
 *
 * A change is accepted by creating the key of its revision on the platform if
 * the key is absent, so that exactly one of two racing changes wins. After a
 * lost response the key is read and, while it's absent, the same bytes are
 * written again: once the key exists, its record is final, whichever node
 * wrote it. A change that lost the race is applied to the winning
 * configuration and retried at the next revision, unless it requires a
 * revision or another change touched the same item.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type PlatformObject,
  type PlatformRequest,
  type PlatformResponse,
  type Revision,
  type RevisionRecord,
} from "@camphorlock/types";
import type { RevisionHistory } from "./history.ts";
import type { ChangeInput } from "./inputs.ts";
import { buildMismatch, buildNextRecord } from "./next_record.ts";
import type { PlatformCalls } from "./platform_calls.ts";
import {
  buildRequest,
  buildTooLarge,
  buildUnavailable,
  buildUncertain,
  EMPTY_STEP,
  MAX_RECORD_BYTES,
  mergeSteps,
  type Proposal,
  type ProposalStep,
  refuseChange,
  type WriteAttempt,
  type WritePhase,
} from "./proposal_step.ts";
import { decodeRecord, encodeRecord, formatRevisionKey } from "./record.ts";

/** Maximum number of changes queued at one node. */
export const CHANGE_QUEUE_LIMIT = 64;

/** Unsettled changes are refused or reported as uncertain after this long. */
export const CHANGE_TIMEOUT_MS = 15_000;

const RETRY_MS = 300;

type ProposalState =
  | { readonly kind: "idle" }
  /** Waits until the reader has caught up with the platform. */
  | { readonly kind: "catching_up"; readonly proposal: Proposal }
  | {
    readonly kind: "in_flight";
    readonly phase: WritePhase;
    readonly attempt: WriteAttempt;
  }
  | {
    readonly kind: "waiting";
    readonly phase: WritePhase;
    readonly attempt: WriteAttempt;
    readonly untilMs: number;
  };

/** The queue of changes that operators submitted at this node. */
export class ProposalQueue {
  #state: ProposalState = { kind: "idle" };
  #queue: readonly Proposal[] = [];
  #nowMs = 0;
  readonly #history: RevisionHistory;
  readonly #calls: PlatformCalls;
  readonly #idPrefix: string;
  readonly #keptRevisions: number;

  constructor(
    history: RevisionHistory,
    options: {
      readonly calls: PlatformCalls;
      readonly idPrefix: string;
      readonly keptRevisions: number;
    },
  ) {
    this.#history = history;
    this.#calls = options.calls;
    this.#idPrefix = options.idPrefix;
    this.#keptRevisions = options.keptRevisions;
  }

  /** Queues a change. */
  add(input: ChangeInput, nowMs: number): ProposalStep {
    this.#nowMs = nowMs;
    if (this.#queue.length >= CHANGE_QUEUE_LIMIT) {
      const detail = `${CHANGE_QUEUE_LIMIT} changes are queued at this node`;
      return refuseChange(input, createFailure("ChangeQueueFull", detail));
    }
    const proposal = {
      input,
      changeId: input.changeId ?? `${this.#idPrefix}/${input.requestId}`,
      baseRevision: this.#history.revision,
      deadlineMs: nowMs + CHANGE_TIMEOUT_MS,
      uncertain: false,
    };
    this.#queue = [...this.#queue, proposal];
    return this.#state.kind === "idle" ? this.#startNext() : EMPTY_STEP;
  }

  /** Retries a failed request and settles expired changes. */
  handleTick(nowMs: number): ProposalStep {
    this.#nowMs = nowMs;
    const queued = this.#refuseExpired();
    const active = this.#settleExpired();
    if (this.#state.kind !== "waiting" || this.#state.untilMs > nowMs) {
      return mergeSteps(queued, active);
    }
    const retry = this.#send(this.#state.attempt, this.#state.phase);
    return mergeSteps(mergeSteps(queued, active), retry);
  }

  /** Continues once the reader has caught up with the platform. */
  handleHead(nowMs: number): ProposalStep {
    this.#nowMs = nowMs;
    if (this.#state.kind !== "catching_up") return EMPTY_STEP;
    return this.#sendProposal(this.#state.proposal);
  }

  /** Handles the response to the one request in flight. */
  handleResponse(response: PlatformResponse, nowMs: number): ProposalStep {
    this.#nowMs = nowMs;
    if (this.#state.kind !== "in_flight") return EMPTY_STEP;
    const { attempt, phase } = this.#state;
    switch (phase) {
      case "writing":
        return this.#handleWriteResponse(attempt, response);
      case "reading":
        return this.#handleReadResponse(attempt, response);
      case "confirming":
        return this.#handleConfirmResponse(attempt, response);
      default:
        return checkNever(phase);
    }
  }

  #startNext(): ProposalStep {
    const [proposal, ...rest] = this.#queue;
    this.#queue = rest;
    if (proposal === undefined) {
      this.#state = { kind: "idle" };
      return EMPTY_STEP;
    }
    this.#state = { kind: "catching_up", proposal };
    return { ...EMPTY_STEP, needsRead: true };
  }

  #sendProposal(proposal: Proposal): ProposalStep {
    const stored = this.#history.findChange(proposal.changeId);
    if (stored !== undefined) return this.#settleAccepted(proposal, stored);
    const record = buildNextRecord(this.#history, proposal);
    if (record.isErr()) return this.#refuse(proposal, record.error);
    const bytes = encodeRecord(record.value);
    if (bytes.length > MAX_RECORD_BYTES) {
      return this.#refuse(proposal, buildTooLarge(bytes.length));
    }
    const attempt = {
      proposal,
      record: record.value,
      bytes,
      mayBeStored: false,
    };
    return this.#send(attempt, "writing");
  }

  #send(attempt: WriteAttempt, phase: WritePhase): ProposalStep {
    this.#state = { kind: "in_flight", phase, attempt };
    const request = buildRequest(attempt, phase);
    const options = { purpose: "proposal", nowMs: this.#nowMs } as const;
    return { ...EMPTY_STEP, effects: [this.#calls.send(request, options)] };
  }

  #wait(attempt: WriteAttempt, phase: WritePhase): ProposalStep {
    const untilMs = this.#nowMs + RETRY_MS;
    this.#state = { kind: "waiting", phase, attempt, untilMs };
    return EMPTY_STEP;
  }

  #handleWriteResponse(
    attempt: WriteAttempt,
    response: PlatformResponse,
  ): ProposalStep {
    const stored = { ...attempt, mayBeStored: true };
    if (response.kind === "stored") {
      return this.#send(stored, "confirming");
    }
    if (response.kind === "conflict") {
      return this.#send(attempt, "reading");
    }
    const isLost = response.kind !== "failed" || response.reason === "lost";
    if (!isLost) return this.#wait(attempt, "writing");
    return this.#wait(stored, "reading");
  }

  #handleReadResponse(
    attempt: WriteAttempt,
    response: PlatformResponse,
  ): ProposalStep {
    if (response.kind === "found") return this.#apply(attempt, response.object);
    // A lost write may still arrive: only a stored key settles the change.
    if (response.kind === "absent") return this.#send(attempt, "writing");
    return this.#wait(attempt, "reading");
  }

  /** Applies the stored record: this attempt's own, or the winner's. */
  #apply(attempt: WriteAttempt, object: PlatformObject): ProposalStep {
    const decoded = decodeRecord(object.value);
    if (decoded.isErr()) return this.#wait(attempt, "reading");
    const record = decoded.value;
    if (record.changeId === attempt.proposal.changeId) {
      return this.#send(
        { ...attempt, mayBeStored: true },
        "confirming",
      );
    }
    this.#history.apply(record);
    return this.#handleLostRace(attempt.proposal, record);
  }

  #handleLostRace(proposal: Proposal, winner: RevisionRecord): ProposalStep {
    const isFinal = proposal.uncertain ||
      proposal.input.ifRevision !== undefined;
    if (isFinal) return this.#refuse(proposal, buildMismatch(winner));
    this.#state = { kind: "catching_up", proposal };
    return { ...EMPTY_STEP, needsRead: true };
  }

  #handleConfirmResponse(
    attempt: WriteAttempt,
    response: PlatformResponse,
  ): ProposalStep {
    if (response.kind !== "listed") return this.#wait(attempt, "confirming");
    const { revision } = attempt.record;
    const next = response.keys[0]?.key;
    const isChained = next === undefined ||
      next === formatRevisionKey(revision + 1);
    if (!isChained) return this.#endUncertain(attempt.proposal);
    this.#history.apply(attempt.record);
    const step = this.#settleAccepted(attempt.proposal, revision);
    return mergeSteps(
      { ...EMPTY_STEP, effects: this.#removeOldest(revision) },
      step,
    );
  }

  /**
   * Reports a change as uncertain: later revisions exist, but the next one is
   * trimmed, so that the outcome can't be determined any more.
   */
  #endUncertain(proposal: Proposal): ProposalStep {
    const step = { ...EMPTY_STEP, notices: [buildUncertain(proposal)] };
    return mergeSteps(step, this.#startNext());
  }

  #removeOldest(revision: Revision): readonly Effect[] {
    const oldest = revision - this.#keptRevisions;
    if (oldest < 1) return [];
    const request: PlatformRequest = {
      kind: "delete",
      key: formatRevisionKey(oldest),
      condition: { kind: "any" },
    };
    const options = { purpose: "trim", nowMs: this.#nowMs } as const;
    return [this.#calls.send(request, options)];
  }

  #settleAccepted(proposal: Proposal, revision: Revision): ProposalStep {
    const { requestId } = proposal.input;
    const { changeId } = proposal;
    const step: ProposalStep = {
      ...EMPTY_STEP,
      notices: [{ kind: "change_accepted", requestId, changeId, revision }],
    };
    return mergeSteps(step, this.#startNext());
  }

  #refuse(proposal: Proposal, failure: Failure): ProposalStep {
    const step = refuseChange(proposal.input, failure);
    return mergeSteps(step, this.#startNext());
  }

  /** Refuses the queued changes whose deadline has passed. */
  #refuseExpired(): ProposalStep {
    const expired = this.#queue.filter((each) => this.#isExpired(each));
    if (expired.length === 0) return EMPTY_STEP;
    this.#queue = this.#queue.filter((each) => !this.#isExpired(each));
    const steps = expired.map((each) => {
      return refuseChange(each.input, buildUnavailable());
    });
    return steps.reduce(mergeSteps, EMPTY_STEP);
  }

  /** Refuses the expired active change, or reports it as uncertain. */
  #settleExpired(): ProposalStep {
    const state = this.#state;
    if (state.kind === "idle") return EMPTY_STEP;
    if (state.kind === "catching_up") {
      if (!this.#isExpired(state.proposal)) return EMPTY_STEP;
      return this.#refuse(state.proposal, buildUnavailable());
    }
    const { attempt } = state;
    if (!this.#isExpired(attempt.proposal)) return EMPTY_STEP;
    const isUnwritten = state.kind === "waiting" && !attempt.mayBeStored;
    if (isUnwritten) return this.#refuse(attempt.proposal, buildUnavailable());
    if (attempt.proposal.uncertain) return EMPTY_STEP;
    const proposal = { ...attempt.proposal, uncertain: true };
    this.#state = { ...state, attempt: { ...attempt, proposal } };
    return { ...EMPTY_STEP, notices: [buildUncertain(proposal)] };
  }

  #isExpired(proposal: Proposal): boolean {
    return proposal.deadlineMs <= this.#nowMs;
  }
}
