/**
 * Client of one model engine.
 *
 * An attempt is sent at most once and its response is streamed. A broken stream
 * can be resumed by attempt id. `docs/EDGES.md` describes the HTTP API.
 */
import { setTimeout as waitFor } from "node:timers/promises";
import type {
  AttemptId,
  AttemptOrder,
  ProgramId,
  TargetOrder,
  TargetOrderResult,
} from "@camphorlock/types";
import { checkNever } from "@camphorlock/types";
import type { Failure } from "@camphorlock/codes";
import {
  ATTEMPT_HEADER,
  type BufferedResponse,
  type Exchange,
  FENCE_HEADER,
  PeerConnection,
  type PeerRequest,
  PROGRAM_HEADER,
  runBufferedExchange,
} from "@camphorlock/http";
import type { Result } from "neverthrow";
import { type AttemptListener, AttemptStream } from "./attempt_stream.ts";
import { encodeChatRequest } from "./chat_request.ts";
import { readKvCache, writeKvCache } from "./kv_cache_transfer.ts";
import {
  type CacheEventBatch,
  type EngineLoad,
  type HeldMemory,
  listHeldMemory,
  listModels,
  readCacheEvents,
  readLoad,
} from "./engine_reports.ts";
import { decodeOrderResponse } from "./order_response.ts";

const ORDER_TIMEOUT_MS = 5_000;
const MAX_ORDER_BYTES = 64 * 1024;
const CANCEL_DELAYS_MS = [0, 250, 750] as const;

/** Settings of an engine client. */
export interface EngineClientOptions {
  /** `ip:port` of the engine. */
  readonly address: string;
  readonly connectTimeoutMs?: number;
}

/** An attempt whose stream is being read. */
export interface RunningAttempt {
  /** Stops reporting events and cancels the attempt at the engine. */
  cancel(): void;
}

/** Options of a resumed stream. */
export interface ResumeOptions {
  /** Number of characters of the attempt's own text to skip. */
  readonly fromOffset: number;
  readonly onEvent: AttemptListener;
}

/** Client of one model engine. */
export class EngineClient {
  readonly #connection: PeerConnection;

  constructor(options: EngineClientOptions) {
    this.#connection = new PeerConnection({
      baseUrl: `http://${options.address}`,
      ...(options.connectTimeoutMs === undefined
        ? {}
        : { connectTimeoutMs: options.connectTimeoutMs }),
    });
  }

  /** Sends an attempt at most once and reports its events. */
  runAttempt(order: AttemptOrder, onEvent: AttemptListener): RunningAttempt {
    if (order.call.kind !== "model") {
      return reportNotSent("an engine runs model calls only", onEvent);
    }
    const request: PeerRequest = {
      method: "POST",
      path: "/v1/chat/completions",
      headers: {
        "content-type": "application/json",
        [ATTEMPT_HEADER]: order.attemptId,
        [PROGRAM_HEADER]: order.programId,
      },
      body: encodeChatRequest(order.call, order),
      silenceTimeoutMs: order.progressTimeoutMs,
      freshConnection: false,
    };
    return this.#startStream(order, {
      request,
      fromOffset: 0,
      onEvent,
      wasSentBefore: false,
    });
  }

  /** Resumes the stream of an attempt that was sent before, at an offset. */
  resumeAttempt(order: AttemptOrder, options: ResumeOptions): RunningAttempt {
    const path = formatStreamPath(order.attemptId);
    const request: PeerRequest = {
      method: "GET",
      path: `${path}?offset=${options.fromOffset}`,
      headers: { [ATTEMPT_HEADER]: order.attemptId },
      silenceTimeoutMs: order.progressTimeoutMs,
      freshConnection: true,
    };
    return this.#startStream(order, {
      request,
      ...options,
      wasSentBefore: true,
    });
  }

  /**
   * Cancels an attempt, whichever node started it. The cancellation may
   * overtake the attempt itself, so it is retried until the engine accepts it
   * or a second has passed.
   */
  async cancelAttempt(attemptId: AttemptId): Promise<TargetOrderResult> {
    let response: BufferedResponse = { kind: "not_sent", detail: "" };
    for (const delayMs of CANCEL_DELAYS_MS) {
      if (delayMs > 0) await waitFor(delayMs);
      response = await this.#run("DELETE", formatStreamPath(attemptId));
      if (response.kind === "answered" && response.status < 300) break;
    }
    return decodeOrderResponse(response);
  }

  /** Runs an order about the memory or the models of the engine. */
  async runOrder(order: TargetOrder): Promise<TargetOrderResult> {
    return decodeOrderResponse(await this.#sendOrder(order));
  }

  /** Releases the memory that the engine holds for a program. */
  releaseProgram(programId: ProgramId): Promise<TargetOrderResult> {
    return this.runOrder({ kind: "release", programId });
  }

  /** Reads the load, which lags behind the actual load. */
  readLoad(): Promise<Result<EngineLoad, Failure>> {
    return readLoad(this.#connection);
  }

  /** Lists the memory that the engine holds, by program. */
  listHeldMemory(): Promise<Result<readonly HeldMemory[], Failure>> {
    return listHeldMemory(this.#connection);
  }

  /** Lists the models that the engine serves. */
  listModels(): Promise<Result<readonly string[], Failure>> {
    return listModels(this.#connection);
  }

  /** Reads the cache events after a number; they are late and have gaps. */
  readCacheEvents(after: number): Promise<Result<CacheEventBatch, Failure>> {
    return readCacheEvents(this.#connection, after);
  }

  /** Reads a program's KV cache. */
  readKvCache(programId: ProgramId): Promise<Result<Uint8Array, Failure>> {
    return readKvCache(this.#connection, programId);
  }

  /** Writes a program's KV cache that was read from another engine. */
  writeKvCache(
    programId: ProgramId,
    bytes: Uint8Array,
  ): Promise<Result<Uint8Array, Failure>> {
    return writeKvCache(this.#connection, { programId, bytes });
  }

  /** Accepts no new requests and closes when the running ones have ended. */
  async closeWhenIdle(): Promise<void> {
    await this.#connection.closeWhenIdle();
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#connection.close();
  }

  #sendOrder(order: TargetOrder): Promise<BufferedResponse> {
    switch (order.kind) {
      case "release":
        return this.#run("DELETE", formatMemoryPath(order.programId));
      case "load_model":
        return this.#run("PUT", formatModelPath(order.model), order.fence);
      case "unload_model":
        return this.#run("DELETE", formatModelPath(order.model), order.fence);
      default:
        return checkNever(order);
    }
  }

  #run(
    method: "PUT" | "DELETE",
    path: string,
    fence?: number,
  ): Promise<BufferedResponse> {
    return runBufferedExchange(
      this.#connection,
      {
        method,
        path,
        headers: fence === undefined ? {} : { [FENCE_HEADER]: String(fence) },
        silenceTimeoutMs: ORDER_TIMEOUT_MS,
        freshConnection: true,
      },
      { totalTimeoutMs: ORDER_TIMEOUT_MS, maxBytes: MAX_ORDER_BYTES },
    );
  }

  #startStream(
    order: AttemptOrder,
    options: StreamRequestOptions,
  ): RunningAttempt {
    const stream = new AttemptStream(order, {
      fromOffset: options.fromOffset,
      onEvent: options.onEvent,
      wasSentBefore: options.wasSentBefore,
      onFault: () => exchange.cancel(),
    });
    const exchange: Exchange = this.#connection.start(options.request, stream);
    return {
      cancel: () => {
        if (stream.isClosed) return;
        stream.close();
        exchange.cancel();
        const mayRun = options.wasSentBefore || exchange.wasSent;
        if (mayRun) void this.cancelAttempt(order.attemptId);
      },
    };
  }
}

interface StreamRequestOptions {
  readonly request: PeerRequest;
  readonly fromOffset: number;
  readonly onEvent: AttemptListener;
  readonly wasSentBefore: boolean;
}

/** Reports that an attempt was not sent. */
export function reportNotSent(
  detail: string,
  onEvent: AttemptListener,
): RunningAttempt {
  queueMicrotask(() => onEvent({ kind: "not_sent", detail }));
  return { cancel: () => {} };
}

function formatStreamPath(attemptId: AttemptId): string {
  return `/v1/streams/${encodeURIComponent(attemptId)}`;
}

function formatMemoryPath(programId: ProgramId): string {
  return `/v1/programs/${encodeURIComponent(programId)}/memory`;
}

function formatModelPath(model: string): string {
  return `/v1/models/${encodeURIComponent(model)}`;
}
