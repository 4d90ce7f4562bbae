/**
 * One request of a caller, from its route to its final answer: chooses a
 * target, sends, and follows a failed send as the rules for the kind of request
 * allow.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { RESULT_CODES } from "@camphorlock/codes/result_codes";
import type { PeerRequest } from "@camphorlock/http/exchange";
import { chooseService } from "../decisions/choose_service.ts";
import { chooseTarget } from "../decisions/choose_target.ts";
import { type FailedSend, planNextSend } from "../decisions/plan_next_send.ts";
import { type KnownTarget, recordAnswer } from "../decisions/target_table.ts";
import type { TurnGrant } from "../accounts/turn_accounts.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import {
  type AcceptedRequest,
  endRequest,
  logRequest,
  type RequestEnd,
} from "./request_end.ts";
import { SendRecord } from "./send_record.ts";
import { startStreamSend } from "./stream_send.ts";
import {
  type RunningSend,
  startWholeSend,
  type WholeTargetAnswer,
} from "./whole_send.ts";

/** Pause before targets that turned the request away are asked again. */
const RETRY_PAUSE_MS = 25;
/** Part of the request's time that may pass without any target taking it. */
const MAX_WAIT_SHARE = 0.4;
/** When a caller may return while targets are full or missing. */
const RETURN_AFTER_MS = 150;
/** Sends have a limit in whole; silence within it is no sign of its own. */
const NO_SILENCE_LIMIT_MS = 600_000;

type SendResult =
  | { readonly kind: "completed" }
  | WholeTargetAnswer
  | FailedSend;

/** Runs one accepted request to its end. */
export class RequestRun {
  readonly #parts: ExchangeParts;
  readonly #accepted: AcceptedRequest;
  readonly #grant: TurnGrant | undefined;
  readonly #service: string;
  readonly #isStream: boolean;
  readonly #isRepeatable: boolean;
  readonly #dueAtMs: number;
  readonly #sends: SendRecord;
  #running: RunningSend<SendResult> | undefined;
  #stopped: "timeout" | "left" | undefined;
  #wake: () => void = () => {};

  /** `grant` holds the tokens of a turn whose program has a budget. */
  constructor(
    parts: ExchangeParts,
    accepted: AcceptedRequest,
    grant?: TurnGrant,
  ) {
    this.#parts = parts;
    this.#accepted = accepted;
    this.#grant = grant;
    const { route, fields, receivedAtMs } = accepted;
    this.#service = chooseService(route, fields.programId ?? fields.requestId);
    this.#isStream = route.kind === "streaming";
    this.#isRepeatable = route.kind === "idempotent" ||
      (this.#isStream && route.isResumable);
    const limitMs = Math.min(
      route.timeoutMs,
      fields.deadlineMs ?? Number.POSITIVE_INFINITY,
    );
    this.#dueAtMs = receivedAtMs + limitMs;
    this.#sends = new SendRecord(fields.resumeAfter);
  }

  /** Runs to the final answer. */
  async run(): Promise<void> {
    const timer = setTimeout(() => this.#stop("timeout"), this.#countLeftMs());
    this.#accepted.caller.onLeft(() => this.#stop("left"));
    const end = await this.#sendUntilEnd();
    clearTimeout(timer);
    endRequest(this.#parts, this.#buildReport(), end);
  }

  async #sendUntilEnd(): Promise<RequestEnd> {
    let onlyRunners = false;
    for (;;) {
      if (this.#stopped !== undefined) return this.#buildStopped();
      const known = this.#choose(onlyRunners);
      if (known === undefined) {
        if (!this.#canWait()) return this.#buildRefusal();
        await this.#waitToRetry();
        this.#sends.excluded.clear();
        continue;
      }
      const result = await this.#send(known);
      if (this.#stopped !== undefined) return this.#buildStopped();
      switch (result.kind) {
        case "completed":
          return { kind: "completed", status: 200 };
        case "answered":
          return this.#sendAnswer(result);
        default: {
          const next = this.#planNext(known, result);
          if (next.kind === "refuse") return this.#buildRefusal();
          if (next.kind === "fail") return this.#buildFailure(result.detail);
          onlyRunners = next.to === "runners";
        }
      }
    }
  }

  #choose(onlyRunners: boolean): KnownTarget | undefined {
    const { targets, placement } = this.#parts;
    const nowMs = performance.now();
    const ready = targets.listReady(this.#service, nowMs).filter((known) =>
      !onlyRunners || this.#sends.isRunner(known.target.id)
    );
    return chooseTarget(ready, {
      ...placement,
      prompt: this.#accepted.fields.prompt,
      excluded: this.#sends.excluded,
      nowMs,
    });
  }

  async #send(known: KnownTarget): Promise<SendResult> {
    const running = this.#start(known);
    this.#running = running;
    known.running += 1;
    known.recordSend(this.#accepted.fields.requestId, performance.now());
    const stopped = new Promise<FailedSend>((resolve) => {
      this.#wake = () => resolve({ kind: "broken", detail: "stopped" });
    });
    const result = await Promise.race([running.end, stopped]);
    known.running -= 1;
    const { requestId } = this.#accepted.fields;
    known.recordFirstAnswer(requestId, performance.now());
    if (result.kind === "completed" || result.kind === "answered") {
      recordAnswer(known);
    }
    return result;
  }

  #start(known: KnownTarget): RunningSend<SendResult> {
    const { connections, codec, metrics } = this.#parts;
    const { fields, caller } = this.#accepted;
    const connection = connections.get(known.target);
    const leftMs = this.#countLeftMs();
    const request = this.#buildRequest(known, leftMs);
    this.#sends.start(known, this.#accepted, metrics);
    const options = {
      codec,
      requestId: fields.requestId,
      timeoutMs: leftMs,
    };
    if (!this.#isStream) return startWholeSend(connection, request, options);
    return startStreamSend(connection, request, {
      ...options,
      progress: this.#sends.progress,
      caller,
      grant: this.#grant,
      recordEvent: () => this.#recordEvent(known),
    });
  }

  #buildRequest(known: KnownTarget, leftMs: number): PeerRequest {
    const { caller, fields, body } = this.#accepted;
    const { method = "GET", url = "/", rawHeaders } = caller.request;
    const headers = this.#parts.codec.encodeTargetHeaders(rawHeaders, {
      targetId: known.target.id,
      leftMs: fields.deadlineMs === undefined ? undefined : leftMs,
      resumeAfter: this.#sends.progress.lastEventId,
    });
    return {
      method,
      path: url,
      headers,
      ...(body.length > 0 || method === "POST" ? { body } : {}),
      silenceTimeoutMs: NO_SILENCE_LIMIT_MS,
      freshConnection: false,
    };
  }

  #planNext(
    known: KnownTarget,
    failed: FailedSend,
  ): ReturnType<typeof planNextSend> {
    const { metrics, targets } = this.#parts;
    this.#sends.add(known, failed);
    const history = this.#sends.buildHistory(targets, {
      isRepeatable: this.#isRepeatable,
      maxTargets: this.#accepted.route.maxTargets,
      leftMs: this.#countLeftMs(),
    });
    const next = planNextSend(failed, history);
    metrics.add("sends_failed");
    logRequest(this.#parts, this.#buildReport(), {
      event: EVENTS.SendFailed,
      target: known.target.id,
      outcome: failed.kind,
      detail: failed.detail,
      next: next.kind,
    });
    return next;
  }

  #recordEvent(known: KnownTarget): void {
    const { progress } = this.#sends;
    const { requestId } = this.#accepted.fields;
    known.recordFirstAnswer(requestId, performance.now());
    if (progress.firstEventMs !== undefined) return;
    progress.firstEventMs = Math.round(this.#countElapsedMs());
    this.#parts.metrics.record("first_event", progress.firstEventMs);
  }

  #canWait(): boolean {
    const { receivedAtMs } = this.#accepted;
    const wholeMs = this.#dueAtMs - receivedAtMs;
    return this.#countElapsedMs() < wholeMs * MAX_WAIT_SHARE;
  }

  #waitToRetry(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, RETRY_PAUSE_MS);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  #stop(reason: "timeout" | "left"): void {
    if (this.#stopped !== undefined) return;
    this.#stopped = reason;
    // An order that runs is let finish when its caller has left.
    if (reason === "timeout" || this.#isRepeatable) this.#running?.cancel();
    this.#wake();
  }

  #buildStopped(): RequestEnd {
    if (this.#stopped === "left") return { kind: "left" };
    if (this.#sends.sentTo.length === 0) return this.#buildRefusal();
    return {
      kind: "failed",
      code: RESULT_CODES.TargetTimeout,
      detail: "the route's time is over",
    };
  }

  #buildRefusal(): RequestEnd {
    if (this.#sends.mayHaveRun) {
      return this.#buildFailure("no target is left to go on with");
    }
    const isEmpty = this.#parts.targets
      .listReady(this.#service, performance.now()).length === 0;
    return {
      kind: "refused",
      code: isEmpty ? RESULT_CODES.NoTarget : RESULT_CODES.Overloaded,
      detail: isEmpty ? "no target is ready" : "every target is full",
      retryAfterMs: RETURN_AFTER_MS,
    };
  }

  #buildFailure(detail: string): RequestEnd {
    return { kind: "failed", code: RESULT_CODES.TargetBroken, detail };
  }

  #sendAnswer(answer: WholeTargetAnswer): RequestEnd {
    const { caller } = this.#accepted;
    if (caller.isAnswering) {
      return this.#buildFailure(`status ${answer.status} within a stream`);
    }
    const headers = this.#parts.codec.encodeAnswerHeaders(answer.headers);
    caller.sendAnswer(answer.status, headers, answer.body);
    return { kind: "completed", status: answer.status };
  }

  #buildReport(): Parameters<typeof endRequest>[1] {
    return {
      accepted: this.#accepted,
      sends: this.#sends,
      service: this.#service,
    };
  }

  #countLeftMs(): number {
    return Math.max(0, Math.floor(this.#dueAtMs - performance.now()));
  }

  #countElapsedMs(): number {
    return performance.now() - this.#accepted.receivedAtMs;
  }
}
