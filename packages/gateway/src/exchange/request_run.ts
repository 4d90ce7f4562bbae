/**
 * One request of a caller, from its head to its final answer: finds the route,
 * reads the body, chooses a target, sends, and follows a failed send as the
 * rules for the kind of request allow.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { RESULT_CODES, type ResultCodeData } from "@camphorlock/codes/result_codes";
import type { PeerRequest } from "@camphorlock/http/exchange";
import type { LogFields } from "@camphorlock/types";
import { chooseService } from "../decisions/choose_service.ts";
import { chooseTarget } from "../decisions/choose_target.ts";
import {
  type FailedSend,
  planNextSend,
  type SendHistory,
} from "../decisions/plan_next_send.ts";
import {
  type KnownTarget,
  recordAnswer,
  recordFailure,
  recordFull,
} from "../decisions/target_table.ts";
import type { RequestFields } from "../model/request_fields.ts";
import type { Route } from "../model/routing.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import { startStreamSend, type StreamProgress } from "./stream_send.ts";
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
/** Headroom that callers are given for the way of the answer. */
const NO_LIMIT_MS = 600_000;

/** The request, once its route is known. */
export interface AcceptedRequest {
  readonly caller: CallerExchange;
  readonly fields: RequestFields;
  readonly route: Route;
  readonly body: Buffer;
  readonly receivedAtMs: number;
  readonly configurationVersion: number;
}

type Ended =
  | { readonly kind: "completed"; readonly status: number }
  | { readonly kind: "refused"; readonly code: ResultCodeData; readonly detail: string; readonly retryAfterMs?: number }
  | { readonly kind: "failed"; readonly code: ResultCodeData; readonly detail: string }
  | { readonly kind: "left" };

type SendResult = { readonly kind: "completed" } | WholeTargetAnswer | FailedSend;

/** Runs one accepted request to its end. */
export class RequestRun {
  readonly #parts: ExchangeParts;
  readonly #accepted: AcceptedRequest;
  readonly #service: string;
  readonly #isStream: boolean;
  readonly #isRepeatable: boolean;
  readonly #dueAtMs: number;
  readonly #progress: StreamProgress;
  readonly #excluded = new Set<string>();
  /** Targets that may have run the request. */
  readonly #runners = new Set<string>();
  readonly #sentTo: string[] = [];
  #running: RunningSend<SendResult> | undefined;
  #stopped: "timeout" | "left" | undefined;
  #wake: () => void = () => {};

  constructor(parts: ExchangeParts, accepted: AcceptedRequest) {
    this.#parts = parts;
    this.#accepted = accepted;
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
    this.#progress = {
      lastEventId: fields.resumeAfter,
      events: 0,
      firstEventMs: undefined,
    };
  }

  /** Runs to the final answer. Tokens passed on are in the result. */
  async run(): Promise<{ readonly events: number }> {
    const { caller } = this.#accepted;
    const timer = setTimeout(() => this.#stop("timeout"), this.#countLeftMs());
    caller.onLeft(() => this.#stop("left"));
    const ended = await this.#sendUntilEnd();
    clearTimeout(timer);
    this.#finish(ended);
    return { events: this.#progress.events };
  }

  async #sendUntilEnd(): Promise<Ended> {
    let onlyRunners = false;
    for (;;) {
      if (this.#stopped !== undefined) return this.#buildStopped();
      const known = this.#choose(onlyRunners);
      if (known === undefined) {
        if (!this.#canWait()) return this.#buildRefusal();
        await this.#pause();
        this.#excluded.clear();
        continue;
      }
      const result = await this.#send(known);
      if (this.#stopped !== undefined) return this.#buildStopped();
      if (result.kind === "completed") return { kind: "completed", status: 200 };
      if (result.kind === "answered") return this.#passOn(result);
      const history = this.#recordFailed(known, result);
      const next = planNextSend(result, history);
      this.#logFailedSend(known, { result, next: next.kind });
      if (next.kind === "refuse") return this.#buildRefusal();
      if (next.kind === "fail") return this.#buildFailure(result.detail);
      onlyRunners = next.to === "runners";
    }
  }

  #choose(onlyRunners: boolean): KnownTarget | undefined {
    const { targets, placement } = this.#parts;
    const nowMs = performance.now();
    const ready = targets.listReady(this.#service, nowMs).filter((known) =>
      !onlyRunners || this.#runners.has(known.target.id)
    );
    return chooseTarget(ready, {
      ...placement,
      prompt: this.#accepted.fields.prompt,
      excluded: this.#excluded,
      nowMs,
    });
  }

  async #send(known: KnownTarget): Promise<SendResult> {
    const { parts, accepted } = { parts: this.#parts, accepted: this.#accepted };
    const connection = parts.connections.get(known.target);
    const leftMs = this.#countLeftMs();
    const request = this.#buildRequest(known, leftMs);
    const options = {
      codec: parts.codec,
      requestId: accepted.fields.requestId,
      timeoutMs: leftMs,
    };
    this.#sentTo.push(known.target.id);
    known.running += 1;
    known.prefixes.record(accepted.fields.prompt);
    this.#running = this.#isStream
      ? startStreamSend(connection, request, {
        ...options,
        progress: this.#progress,
        caller: accepted.caller,
        recordEvent: () => this.#recordEvent(),
      })
      : startWholeSend(connection, request, options);
    const stopped = new Promise<FailedSend>((resolve) => {
      this.#wake = () => resolve({ kind: "broken", detail: "stopped" });
    });
    const result = await Promise.race([this.#running.end, stopped]);
    known.running -= 1;
    if (result.kind === "completed" || result.kind === "answered") {
      recordAnswer(known);
    }
    return result;
  }

  #buildRequest(known: KnownTarget, leftMs: number): PeerRequest {
    const { caller, fields, body } = this.#accepted;
    const { method = "GET", url = "/", rawHeaders } = caller.request;
    const headers = this.#parts.codec.encodeTargetHeaders(rawHeaders, {
      targetId: known.target.id,
      leftMs: fields.deadlineMs === undefined ? undefined : leftMs,
      resumeAfter: this.#progress.lastEventId,
    });
    return {
      method,
      path: url,
      headers,
      ...(body.length > 0 || method === "POST" ? { body } : {}),
      silenceTimeoutMs: NO_LIMIT_MS,
      freshConnection: false,
    };
  }

  #recordFailed(known: KnownTarget, failed: FailedSend): SendHistory {
    const { id } = known.target;
    const nowMs = performance.now();
    switch (failed.kind) {
      case "not_run":
        recordFull(known, nowMs);
        this.#excluded.add(id);
        break;
      case "unreachable":
        recordFailure(known, nowMs);
        this.#excluded.add(id);
        // A target that takes no connection runs nothing any more.
        this.#runners.delete(id);
        break;
      case "broken":
        recordFailure(known, nowMs);
        this.#runners.add(id);
        break;
    }
    const { targets } = this.#parts;
    const live = [...this.#runners].filter((each) =>
      targets.isReady(each, nowMs)
    );
    return {
      isRepeatable: this.#isRepeatable,
      maxTargets: this.#accepted.route.maxTargets,
      sends: this.#sentTo.length,
      liveRunners: live.length,
      mayHaveRun: this.#runners.size > 0 || this.#progress.events > 0,
      leftMs: this.#countLeftMs(),
    };
  }

  #recordEvent(): void {
    this.#progress.firstEventMs ??= this.#countElapsedMs();
  }

  #canWait(): boolean {
    const { receivedAtMs } = this.#accepted;
    const wholeMs = this.#dueAtMs - receivedAtMs;
    return this.#countElapsedMs() < wholeMs * MAX_WAIT_SHARE;
  }

  #pause(): Promise<void> {
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

  #buildStopped(): Ended {
    if (this.#stopped === "left") return { kind: "left" };
    const detail = "the route's time is over";
    if (this.#sentTo.length === 0) return this.#buildRefusal();
    return { kind: "failed", code: RESULT_CODES.TargetTimeout, detail };
  }

  #buildRefusal(): Ended {
    if (this.#runners.size > 0 || this.#progress.events > 0) {
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

  #buildFailure(detail: string): Ended {
    return { kind: "failed", code: RESULT_CODES.TargetBroken, detail };
  }

  #passOn(answer: WholeTargetAnswer): Ended {
    const { caller } = this.#accepted;
    if (caller.isAnswering) {
      return this.#buildFailure(`status ${answer.status} within a stream`);
    }
    const headers = this.#parts.codec.encodeAnswerHeaders(answer.headers);
    caller.sendAnswer(answer.status, headers, answer.body);
    return { kind: "completed", status: answer.status };
  }

  #finish(ended: Ended): void {
    const { caller } = this.#accepted;
    switch (ended.kind) {
      case "completed":
        if (caller.isAnswering && this.#isStream) caller.endStream();
        return this.#log(EVENTS.RequestAnswered, { status: ended.status });
      case "refused":
        caller.sendOwn(ended);
        return this.#log(EVENTS.RequestRefused, this.#describe(ended));
      case "failed":
        if (caller.isAnswering) caller.cut();
        else caller.sendOwn(ended);
        return this.#log(EVENTS.RequestFailed, this.#describe(ended));
      case "left":
        return this.#log(EVENTS.RequestAbandoned, {});
    }
  }

  #describe(ended: { code: ResultCodeData; detail: string }): LogFields {
    return { code: ended.code.code, detail: ended.detail };
  }

  #logFailedSend(
    known: KnownTarget,
    { result, next }: { result: FailedSend; next: string },
  ): void {
    this.#log(EVENTS.SendFailed, {
      target: known.target.id,
      outcome: result.kind,
      detail: result.detail,
      next,
    });
  }

  #log(event: typeof EVENTS[keyof typeof EVENTS], fields: LogFields): void {
    const { fields: request, route, configurationVersion } = this.#accepted;
    this.#parts.log.write(event, {
      request: request.requestId,
      program: request.programId,
      route: route.name,
      configuration: configurationVersion,
      service: this.#service,
      targets: this.#sentTo,
      view_age_ms: Math.round(this.#parts.getViewAgeMs()),
      elapsed_ms: Math.round(this.#countElapsedMs()),
      first_ms: this.#progress.firstEventMs,
      events: this.#progress.events,
      ...fields,
    } as LogFields);
  }

  #countLeftMs(): number {
    return Math.max(0, Math.floor(this.#dueAtMs - performance.now()));
  }

  #countElapsedMs(): number {
    return Math.round(performance.now() - this.#accepted.receivedAtMs);
  }
}
