/**
 * Client of one tool or plain service.
 *
 * A request is sent once, with the attempt id as its idempotency key. A
 * non-idempotent operation always gets a connection of its own, so that no
 * connection that died unseen can leave its fate open.
 */
import type {
  AttemptEvent,
  AttemptId,
  AttemptOrder,
  ServiceCall,
} from "@camphorlock/types";
import { checkNever } from "@camphorlock/types";
import {
  getHeader,
  KEY_HEADER,
  NOT_RUN_HEADER,
  PeerConnection,
  type PeerRequest,
  PROGRAM_HEADER,
  startWhole,
  type WholeAnswer,
} from "@camphorlock/http";
import { decodeOutcome, type ServiceOutcome } from "./service_outcome.ts";

const OUTCOME_TIMEOUT_MS = 5_000;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
const NO_USAGE = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };

/** Settings of a service client. */
export interface ServiceClientOptions {
  /** `ip:port` of the service. */
  readonly address: string;
  readonly connectTimeoutMs?: number;
}

/** Receives what happens to an attempt. */
export type ServiceListener = (event: AttemptEvent) => void;

/** An operation that's being waited for. */
export interface RunningOperation {
  /** Reports nothing more. The service may run the operation all the same. */
  cancel(): void;
}

/** Client of one service. */
export class ServiceClient {
  readonly #connection: PeerConnection;

  constructor(options: ServiceClientOptions) {
    this.#connection = new PeerConnection({
      baseUrl: `http://${options.address}`,
      ...(options.connectTimeoutMs === undefined
        ? {}
        : { connectTimeoutMs: options.connectTimeoutMs }),
    });
  }

  /** Sends an operation, once, and reports how it ended. */
  runAttempt(order: AttemptOrder, onEvent: ServiceListener): RunningOperation {
    const { call } = order;
    if (call.kind !== "service") {
      const detail = "a service runs service calls only";
      queueMicrotask(() => onEvent({ kind: "not_sent", detail }));
      return { cancel: () => {} };
    }
    const running = startWhole(
      this.#connection,
      buildRequest(order, call),
      {
        totalTimeoutMs: order.progressTimeoutMs,
        maxBytes: MAX_ANSWER_BYTES,
      },
    );
    let cancelled = false;
    void running.answer.then((answer) => {
      if (cancelled) return;
      for (const event of buildEvents(order, answer)) onEvent(event);
    });
    return {
      cancel: () => {
        cancelled = true;
        running.cancel();
      },
    };
  }

  /**
   * Asks what became of an attempt. A service that answers `not_run` refuses
   * the attempt from then on.
   */
  async settleOutcome(attemptId: AttemptId): Promise<ServiceOutcome> {
    const key = encodeURIComponent(attemptId);
    const running = startWhole(
      this.#connection,
      {
        method: "POST",
        path: `/v1/outcomes/${key}/settle`,
        headers: {},
        silenceTimeoutMs: OUTCOME_TIMEOUT_MS,
        freshConnection: true,
      },
      { totalTimeoutMs: OUTCOME_TIMEOUT_MS, maxBytes: MAX_ANSWER_BYTES },
    );
    return decodeOutcome(await running.answer);
  }

  /** Takes nothing new and closes when what runs has ended. */
  async closeWhenIdle(): Promise<void> {
    await this.#connection.closeWhenIdle();
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#connection.close();
  }
}

function buildRequest(order: AttemptOrder, call: ServiceCall): PeerRequest {
  return {
    method: "POST",
    path: `/v1/operations/${encodeURIComponent(call.operation)}`,
    headers: {
      "content-type": "application/json",
      [KEY_HEADER]: order.attemptId,
      [PROGRAM_HEADER]: order.programId,
    },
    body: call.body,
    silenceTimeoutMs: order.progressTimeoutMs,
    freshConnection: !call.idempotent,
  };
}

function buildEvents(
  order: AttemptOrder,
  answer: WholeAnswer,
): AttemptEvent[] {
  switch (answer.kind) {
    case "not_sent":
    case "broken":
      return [answer];
    case "answered":
      return buildAnsweredEvents(order, answer);
    default:
      return checkNever(answer);
  }
}

function buildAnsweredEvents(
  order: AttemptOrder,
  answer: Extract<WholeAnswer, { kind: "answered" }>,
): AttemptEvent[] {
  const text = Buffer.from(answer.body).toString("utf8");
  const shownId = getHeader(answer.headers, KEY_HEADER) ?? order.attemptId;
  if (shownId !== order.attemptId) {
    return [{ kind: "broken", detail: `the answer is for ${shownId}` }];
  }
  if (answer.status < 200 || answer.status >= 300) {
    const notRun = getHeader(answer.headers, NOT_RUN_HEADER) === "true";
    return [{ kind: "rejected", status: answer.status, detail: text, notRun }];
  }
  const completed: AttemptEvent = { kind: "completed", text, usage: NO_USAGE };
  if (text === "") return [completed];
  return [{ kind: "text", offset: 0, text, tokens: 0 }, completed];
}
