/**
 * Stores the changes of this node's operators, one after the other.
 *
 * A revision is accepted by creating its name where it's absent, so that of
 * two racing changes one wins. After a lost answer the name is read back and,
 * while it's absent, the same bytes are written again: a name that exists
 * settles the question for good, whoever wrote it. A change that lost is
 * applied to the winner's configuration and tried at the next revision,
 * unless it names a revision or another change touched the same item.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type PlatformAnswer,
  type PlatformObject,
  type PlatformRequest,
  type Revision,
  type RevisionRecord,
} from "@camphorlock/types";
import type { RevisionHistory } from "./history.ts";
import type { ChangeInput } from "./inputs.ts";
import { buildMismatch, buildNextRecord } from "./next_record.ts";
import type { PlatformCalls } from "./platform_calls.ts";
import {
  type Attempt,
  buildRequest,
  buildTooLarge,
  buildUnavailable,
  buildUncertain,
  LARGEST_RECORD_BYTES,
  mergeSteps,
  NOTHING,
  type Phase,
  type Proposal,
  type ProposalStep,
  refuseChange,
} from "./proposal_step.ts";
import { decodeRecord, encodeRecord, formatRevisionKey } from "./record.ts";

/** Changes of one node that may wait for their turn. */
export const CHANGE_QUEUE_LIMIT = 64;

/** An operator is told that a change is uncertain after this long. */
export const CHANGE_TIMEOUT_MS = 15_000;

const RETRY_MS = 300;

type ProposalState =
  | { readonly kind: "idle" }
  /** Waits until the reader has reached the platform's latest revision. */
  | { readonly kind: "behind"; readonly proposal: Proposal }
  | {
    readonly kind: "asked";
    readonly phase: Phase;
    readonly attempt: Attempt;
  }
  | {
    readonly kind: "waiting";
    readonly phase: Phase;
    readonly attempt: Attempt;
    readonly untilMs: number;
  };

/** The changes that this node's operators ordered. */
export class Proposals {
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

  /** Takes a change, to be stored in its turn. */
  add(input: ChangeInput, nowMs: number): ProposalStep {
    this.#nowMs = nowMs;
    if (this.#queue.length >= CHANGE_QUEUE_LIMIT) {
      const detail = `${CHANGE_QUEUE_LIMIT} changes wait at this node`;
      return refuseChange(input, createFailure("ChangeQueueFull", detail));
    }
    const proposal = {
      input,
      changeId: input.changeId ?? `${this.#idPrefix}/${input.requestId}`,
      base: this.#history.revision,
      deadlineMs: nowMs + CHANGE_TIMEOUT_MS,
      uncertain: false,
    };
    this.#queue = [...this.#queue, proposal];
    return this.#state.kind === "idle" ? this.#startNext() : NOTHING;
  }

  /** Retries and gives up where it's time to. */
  handleTick(nowMs: number): ProposalStep {
    this.#nowMs = nowMs;
    const queued = this.#refuseExpired();
    const active = this.#settleExpired();
    if (this.#state.kind !== "waiting" || this.#state.untilMs > nowMs) {
      return mergeSteps(queued, active);
    }
    const retry = this.#sendQuestion(this.#state.attempt, this.#state.phase);
    return mergeSteps(mergeSteps(queued, active), retry);
  }

  /** The reader has reached the platform's latest revision. */
  handleHead(nowMs: number): ProposalStep {
    this.#nowMs = nowMs;
    if (this.#state.kind !== "behind") return NOTHING;
    return this.#sendProposal(this.#state.proposal);
  }

  /** Takes the answer to the one open request of the proposals. */
  handleAnswer(answer: PlatformAnswer, nowMs: number): ProposalStep {
    this.#nowMs = nowMs;
    if (this.#state.kind !== "asked") return NOTHING;
    const { attempt, phase } = this.#state;
    switch (phase) {
      case "writing":
        return this.#handleWritten(attempt, answer);
      case "reading":
        return this.#handleRead(attempt, answer);
      case "confirming":
        return this.#handleConfirmed(attempt, answer);
      default:
        return checkNever(phase);
    }
  }

  #startNext(): ProposalStep {
    const [proposal, ...rest] = this.#queue;
    this.#queue = rest;
    if (proposal === undefined) {
      this.#state = { kind: "idle" };
      return NOTHING;
    }
    this.#state = { kind: "behind", proposal };
    return { ...NOTHING, needsRead: true };
  }

  #sendProposal(proposal: Proposal): ProposalStep {
    const stored = this.#history.findChange(proposal.changeId);
    if (stored !== undefined) return this.#settleAccepted(proposal, stored);
    const record = buildNextRecord(this.#history, proposal);
    if (record.isErr()) return this.#refuse(proposal, record.error);
    const bytes = encodeRecord(record.value);
    if (bytes.length > LARGEST_RECORD_BYTES) {
      return this.#refuse(proposal, buildTooLarge(bytes.length));
    }
    const attempt = {
      proposal,
      record: record.value,
      bytes,
      mayBeStored: false,
    };
    return this.#sendQuestion(attempt, "writing");
  }

  #sendQuestion(attempt: Attempt, phase: Phase): ProposalStep {
    this.#state = { kind: "asked", phase, attempt };
    const request = buildRequest(attempt, phase);
    const options = { purpose: "proposal", nowMs: this.#nowMs } as const;
    return { ...NOTHING, effects: [this.#calls.send(request, options)] };
  }

  #wait(attempt: Attempt, phase: Phase): ProposalStep {
    const untilMs = this.#nowMs + RETRY_MS;
    this.#state = { kind: "waiting", phase, attempt, untilMs };
    return NOTHING;
  }

  #handleWritten(attempt: Attempt, answer: PlatformAnswer): ProposalStep {
    const stored = { ...attempt, mayBeStored: true };
    if (answer.kind === "stored") {
      return this.#sendQuestion(stored, "confirming");
    }
    if (answer.kind === "conflict") {
      return this.#sendQuestion(attempt, "reading");
    }
    const isLost = answer.kind !== "failed" || answer.reason === "lost";
    if (!isLost) return this.#wait(attempt, "writing");
    return this.#wait(stored, "reading");
  }

  #handleRead(attempt: Attempt, answer: PlatformAnswer): ProposalStep {
    if (answer.kind === "found") return this.#settle(attempt, answer.object);
    // A lost write may still be on its way: only a stored name settles it.
    if (answer.kind === "absent") return this.#sendQuestion(attempt, "writing");
    return this.#wait(attempt, "reading");
  }

  #settle(attempt: Attempt, object: PlatformObject): ProposalStep {
    const decoded = decodeRecord(object.value);
    if (decoded.isErr()) return this.#wait(attempt, "reading");
    const record = decoded.value;
    if (record.changeId === attempt.proposal.changeId) {
      return this.#sendQuestion(
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
    this.#state = { kind: "behind", proposal };
    return { ...NOTHING, needsRead: true };
  }

  #handleConfirmed(attempt: Attempt, answer: PlatformAnswer): ProposalStep {
    if (answer.kind !== "listed") return this.#wait(attempt, "confirming");
    const { revision } = attempt.record;
    const next = answer.keys[0]?.key;
    const isChained = next === undefined ||
      next === formatRevisionKey(revision + 1);
    if (!isChained) return this.#endUncertain(attempt.proposal);
    this.#history.apply(attempt.record);
    const step = this.#settleAccepted(attempt.proposal, revision);
    return mergeSteps(
      { ...NOTHING, effects: this.#removeOldest(revision) },
      step,
    );
  }

  /** Later revisions exist but the next one is trimmed: too late to tell. */
  #endUncertain(proposal: Proposal): ProposalStep {
    const step = { ...NOTHING, notices: [buildUncertain(proposal)] };
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
      ...NOTHING,
      notices: [{ kind: "change_accepted", requestId, changeId, revision }],
    };
    return mergeSteps(step, this.#startNext());
  }

  #refuse(proposal: Proposal, failure: Failure): ProposalStep {
    const step = refuseChange(proposal.input, failure);
    return mergeSteps(step, this.#startNext());
  }

  /** Refuses the queued changes that have waited too long. */
  #refuseExpired(): ProposalStep {
    const expired = this.#queue.filter((each) => this.#isExpired(each));
    if (expired.length === 0) return NOTHING;
    this.#queue = this.#queue.filter((each) => !this.#isExpired(each));
    const steps = expired.map((each) => {
      return refuseChange(each.input, buildUnavailable());
    });
    return steps.reduce(mergeSteps, NOTHING);
  }

  /** Refuses the active change, or reports that its fate isn't known. */
  #settleExpired(): ProposalStep {
    const state = this.#state;
    if (state.kind === "idle") return NOTHING;
    if (state.kind === "behind") {
      if (!this.#isExpired(state.proposal)) return NOTHING;
      return this.#refuse(state.proposal, buildUnavailable());
    }
    const { attempt } = state;
    if (!this.#isExpired(attempt.proposal)) return NOTHING;
    const isUnwritten = state.kind === "waiting" && !attempt.mayBeStored;
    if (isUnwritten) return this.#refuse(attempt.proposal, buildUnavailable());
    if (attempt.proposal.uncertain) return NOTHING;
    const proposal = { ...attempt.proposal, uncertain: true };
    this.#state = { ...state, attempt: { ...attempt, proposal } };
    return { ...NOTHING, notices: [buildUncertain(proposal)] };
  }

  #isExpired(proposal: Proposal): boolean {
    return proposal.deadlineMs <= this.#nowMs;
  }
}
