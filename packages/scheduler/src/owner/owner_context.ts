/**
 * What the parts of an owner share: the folded state, the ledger, and the
 * effects collected while one input is handled.
 */
import {
  createFailure,
  type EventName,
  EVENTS,
  type Failure,
  type ResultCodeName,
} from "@camphorlock/codes";
import type {
  CallerAnswer,
  Effect,
  EntryBody,
  LogFields,
  PeerMessage,
  RequestId,
  VmId,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { OwnerOptions } from "./ports.ts";
import { ShardState } from "./shard_state.ts";

/** Work that waits until the entries up to a sequence are durable. */
interface DurableWork {
  readonly sequence: number;
  readonly run: () => void;
}

/** The state and collected effects of one shard's owner. */
export class OwnerContext {
  readonly state = new ShardState();
  readonly options: OwnerOptions;
  nowMs = 0;
  #effects: Effect[] = [];
  #durableWork: DurableWork[] = [];
  #lastSequence = 0;
  #durableThrough = 0;
  readonly #confirmWork = new Map<number, () => void>();

  constructor(options: OwnerOptions) {
    this.options = options;
  }

  /** Adds an effect to the answer of the input being handled. */
  addEffect(effect: Effect): void {
    this.#effects.push(effect);
  }

  /** Sends a message to another node, or to this one. */
  send(to: VmId, message: PeerMessage): void {
    this.addEffect({ kind: "send_peer", to, message });
  }

  /** Answers a request at the entry that forwarded it. */
  answer(request: RequestOrigin, answer: CallerAnswer): void {
    const { requestId } = request;
    this.send(request.entry, { kind: "owner_answer", requestId, answer });
  }

  /** Refuses a request with a numbered failure. */
  refuse(request: RequestOrigin, failure: Failure): void {
    this.answer(request, { kind: "refused", failure });
  }

  /**
   * Refuses a request after a proof that this owner is the present one.
   *
   * A refusal says that something is absent or used up, which a superseded
   * owner can't know.
   */
  refuseConfirmed(
    request: RequestOrigin,
    code: ResultCodeName,
    detail: string,
  ): void {
    this.confirm(() => this.refuse(request, createFailure(code, detail)));
  }

  /** Logs a catalogued event. */
  log(name: EventName, fields: LogFields): void {
    const { event } = EVENTS[name];
    const shard = this.options.shard;
    this.addEffect({
      kind: "log",
      record: { event, fields: { shard, ...fields } },
    });
  }

  /**
   * Appends entries, applies them, and runs `then` once they are durable.
   *
   * Has no effect when the ledger refuses them.
   */
  append(
    bodies: readonly EntryBody[],
    then?: () => void,
  ): Result<void, Failure> {
    const appended = this.options.ledger.append(bodies, this.nowMs);
    if (appended.isErr()) return err(appended.error);
    for (const body of bodies) this.state.apply(body);
    const { effects, sequence } = appended.value;
    this.#effects.push(...effects);
    this.#lastSequence = sequence;
    const first = sequence - bodies.length + 1;
    bodies.forEach((body, at) => this.recordCharge(first + at, body));
    if (then !== undefined) this.#durableWork.push({ sequence, run: then });
    return ok(undefined);
  }

  /** Passes the end of a call on to be charged. */
  recordCharge(sequence: number, body: EntryBody): void {
    if (body.kind !== "call_ended") return;
    const { outcome, callId, endedAtMs } = body;
    if (outcome.status === "not_run") return;
    const program = this.state.programs.get(body.programId);
    if (program === undefined) return;
    this.options.charges.recordEnded(sequence, {
      callId,
      spec: program.spec,
      micros: outcome.chargeMicros,
      endedAtMs,
      revision: outcome.agreementRevision,
    });
  }

  /**
   * Runs `then` after a proof of the epoch that began after this moment, and
   * after everything appended before it has become durable.
   */
  confirm(then: () => void): void {
    const sequence = this.#lastSequence;
    const confirm = this.options.ledger.confirm(this.nowMs);
    this.#effects.push(...confirm.effects);
    this.#confirmWork.set(confirm.token, () => {
      if (this.#durableThrough >= sequence) return then();
      this.#durableWork.push({ sequence, run: then });
    });
  }

  /** Runs what waited for entries up to `through`. */
  settleDurable(through: number): void {
    this.#durableThrough = Math.max(this.#durableThrough, through);
    const ready = this.#durableWork.filter((work) => work.sequence <= through);
    if (ready.length === 0) return;
    this.#durableWork = this.#durableWork
      .filter((work) => work.sequence > through);
    for (const work of ready) work.run();
  }

  /** Runs what waited for a confirmation. */
  settleConfirmed(token: number): void {
    const run = this.#confirmWork.get(token);
    this.#confirmWork.delete(token);
    run?.();
  }

  /** Takes the effects collected so far. */
  takeEffects(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}

/** Where the answer to a request goes. */
export interface RequestOrigin {
  readonly requestId: RequestId;
  readonly entry: VmId;
}
