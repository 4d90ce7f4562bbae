/**
 * The context that the components of an owner share: the folded state, the
 * ledger, and the effects collected while one input is handled.
 */
import {
  createFailure,
  type EventName,
  EVENTS,
  type Failure,
  type ResultCodeName,
} from "@camphorlock/codes";
import type {
  CallerResponse,
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

/** A callback that waits until the entries up to a sequence are durable. */
interface DurableCallback {
  readonly sequence: number;
  readonly run: () => void;
}

/** The state and collected effects of one shard's owner. */
export class OwnerContext {
  readonly state = new ShardState();
  readonly options: OwnerOptions;
  nowMs = 0;
  #effects: Effect[] = [];
  #whenDurable: DurableCallback[] = [];
  #lastSequence = 0;
  #durableThrough = 0;
  readonly #whenConfirmed = new Map<number, () => void>();

  constructor(options: OwnerOptions) {
    this.options = options;
  }

  /** Adds an effect to the result of the input being handled. */
  addEffect(effect: Effect): void {
    this.#effects.push(effect);
  }

  /** Sends a message to another node, or to this one. */
  send(to: VmId, message: PeerMessage): void {
    this.addEffect({ kind: "send_peer", to, message });
  }

  /** Sends a response to the entry node that forwarded the request. */
  sendResponse(request: RequestOrigin, response: CallerResponse): void {
    const { requestId } = request;
    this.send(request.entryNode, {
      kind: "owner_answer",
      requestId,
      answer: response,
    });
  }

  /** Refuses a request with a numbered failure. */
  refuse(request: RequestOrigin, failure: Failure): void {
    this.sendResponse(request, { kind: "refused", failure });
  }

  /**
   * Refuses a request after a proof that this owner isn't superseded.
   *
   * The refusal states that something is absent or used up, and the state of a
   * superseded owner may be stale.
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
   * Has no effect if the ledger refuses the entries.
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
    if (then !== undefined) this.#whenDurable.push({ sequence, run: then });
    return ok(undefined);
  }

  /** Forwards the end of a call to the charges. */
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
   * Runs `then` once the epoch is proved by a check that began after this
   * moment, and all entries appended before this moment are durable.
   */
  confirm(then: () => void): void {
    const sequence = this.#lastSequence;
    const confirm = this.options.ledger.confirm(this.nowMs);
    this.#effects.push(...confirm.effects);
    this.#whenConfirmed.set(confirm.token, () => {
      if (this.#durableThrough >= sequence) return then();
      this.#whenDurable.push({ sequence, run: then });
    });
  }

  /** Runs the callbacks that waited for entries up to `through`. */
  handleDurable(through: number): void {
    this.#durableThrough = Math.max(this.#durableThrough, through);
    const ready = this.#whenDurable.filter((callback) =>
      callback.sequence <= through
    );
    if (ready.length === 0) return;
    this.#whenDurable = this.#whenDurable
      .filter((callback) => callback.sequence > through);
    for (const callback of ready) callback.run();
  }

  /** Runs the callback that waited for a confirmation. */
  handleConfirmed(token: number): void {
    const run = this.#whenConfirmed.get(token);
    this.#whenConfirmed.delete(token);
    run?.();
  }

  /** Removes and returns the effects collected so far. */
  takeEffects(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}

/** The id of a request and the entry node that receives its responses. */
export interface RequestOrigin {
  readonly requestId: RequestId;
  readonly entryNode: VmId;
}
