/**
 * Client of one tool or plain service.
 *
 * A request is sent at most once, with the attempt id as its idempotency key. A
 * non-idempotent operation always uses a fresh connection, because sending it
 * on a kept-alive connection that is already dead leaves its outcome unknown.
 */
import type {
  AttemptEvent,
  AttemptId,
  AttemptOrder,
  ServiceCall,
} from "@camphorlock/types";
import { checkNever } from "@camphorlock/types";
import {
  type BufferedResponse,
  getHeader,
  IDEMPOTENCY_KEY_HEADER,
  NOT_RUN_HEADER,
  PeerConnection,
  type PeerRequest,
  PROGRAM_HEADER,
  startBufferedExchange,
} from "@camphorlock/http";
import {
  decodeServiceOutcome,
  type ServiceOutcome,
} from "./service_outcome.ts";

const OUTCOME_TIMEOUT_MS = 5_000;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
const NO_USAGE = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };

/** Settings of a service client. */
export interface ServiceClientOptions {
  /** `ip:port` of the service. */
  readonly address: string;
  readonly connectTimeoutMs?: number;
}

/** Receives the events of an attempt. */
export type ServiceListener = (event: AttemptEvent) => void;

/** An operation whose response is awaited. */
export interface RunningOperation {
  /** Stops reporting events. The service may still run the operation. */
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

  /** Sends an operation at most once and reports how it ended. */
  runAttempt(order: AttemptOrder, onEvent: ServiceListener): RunningOperation {
    const { call } = order;
    if (call.kind !== "service") {
      const detail = "a service runs service calls only";
      queueMicrotask(() => onEvent({ kind: "not_sent", detail }));
      return { cancel: () => {} };
    }
    const running = startBufferedExchange(
      this.#connection,
      buildRequest(order, call),
      {
        totalTimeoutMs: order.progressTimeoutMs,
        maxBytes: MAX_RESPONSE_BYTES,
      },
    );
    let cancelled = false;
    void running.answer.then((response) => {
      if (cancelled) return;
      for (const event of buildAttemptEvents(order, response)) onEvent(event);
    });
    return {
      cancel: () => {
        cancelled = true;
        running.cancel();
      },
    };
  }

  /**
   * Requests the outcome of an attempt. A service that responds with `not_run`
   * refuses the attempt from then on.
   */
  async settleOutcome(attemptId: AttemptId): Promise<ServiceOutcome> {
    const key = encodeURIComponent(attemptId);
    const running = startBufferedExchange(
      this.#connection,
      {
        method: "POST",
        path: `/v1/outcomes/${key}/settle`,
        headers: {},
        silenceTimeoutMs: OUTCOME_TIMEOUT_MS,
        freshConnection: true,
      },
      { totalTimeoutMs: OUTCOME_TIMEOUT_MS, maxBytes: MAX_RESPONSE_BYTES },
    );
    return decodeServiceOutcome(await running.answer);
  }

  /** Accepts no new requests and closes when the running ones have ended. */
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
      [IDEMPOTENCY_KEY_HEADER]: order.attemptId,
      [PROGRAM_HEADER]: order.programId,
    },
    body: call.body,
    silenceTimeoutMs: order.progressTimeoutMs,
    freshConnection: !call.idempotent,
  };
}

function buildAttemptEvents(
  order: AttemptOrder,
  response: BufferedResponse,
): AttemptEvent[] {
  switch (response.kind) {
    case "not_sent":
    case "broken":
      return [response];
    case "answered":
      return buildResponseEvents(order, response);
    default:
      return checkNever(response);
  }
}

function buildResponseEvents(
  order: AttemptOrder,
  response: Extract<BufferedResponse, { kind: "answered" }>,
): AttemptEvent[] {
  const text = Buffer.from(response.body).toString("utf8");
  const echoedId = getHeader(response.headers, IDEMPOTENCY_KEY_HEADER) ??
    order.attemptId;
  if (echoedId !== order.attemptId) {
    return [{ kind: "broken", detail: `the response is for ${echoedId}` }];
  }
  if (response.status < 200 || response.status >= 300) {
    const notRun = getHeader(response.headers, NOT_RUN_HEADER) === "true";
    return [{
      kind: "rejected",
      status: response.status,
      detail: text,
      notRun,
    }];
  }
  const completed: AttemptEvent = { kind: "completed", text, usage: NO_USAGE };
  if (text === "") return [completed];
  return [{ kind: "text", offset: 0, text, tokens: 0 }, completed];
}
