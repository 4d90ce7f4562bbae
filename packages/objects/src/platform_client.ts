/**
 * Client of the platform's object API.
 *
 * A call never rejects. A write whose response didn't arrive is `lost`, because
 * it may have taken effect; `refused` and `rate_limited` calls had no effect.
 */
import { setTimeout as waitFor } from "node:timers/promises";
import type { PlatformRequest, PlatformResponse } from "@camphorlock/types";
import { PeerConnection } from "@camphorlock/http";
import { runBufferedExchange } from "@camphorlock/http";
import { decodeResponse } from "./decode_response.ts";
import { encodeRequest } from "./encode_request.ts";
import { TokenBucket } from "./token_bucket.ts";

const CALL_TIMEOUT_MS = 3_000;
const WATCH_WAIT_MS = 15_000;
const WATCH_TIMEOUT_MARGIN_MS = 5_000;
const MAX_QUEUE_MS = 1_000;
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const BURST_SECONDS = 0.5;

/** Settings of a platform client. */
export interface PlatformClientOptions {
  readonly baseUrl: string;
  readonly callTimeoutMs?: number;
  /** How long a watch waits for a change before it responds without one. */
  readonly watchWaitMs?: number;
  /** This node's share of the platform's rate limits; unlimited if absent. */
  readonly readsPerSecond?: number;
  readonly writesPerSecond?: number;
  /** Longest wait for this node's limit before a call is `rate_limited`. */
  readonly maxQueueMs?: number;
}

/** Client of the object API that limits its calls per second. */
export class PlatformClient {
  readonly #options: PlatformClientOptions;
  readonly #connection: PeerConnection;
  readonly #reads: TokenBucket | undefined;
  readonly #writes: TokenBucket | undefined;

  constructor(options: PlatformClientOptions) {
    this.#options = options;
    this.#connection = new PeerConnection({ baseUrl: options.baseUrl });
    this.#reads = createBucket(options.readsPerSecond);
    this.#writes = createBucket(options.writesPerSecond);
  }

  /** Makes one call. Never rejects. */
  async call(request: PlatformRequest): Promise<PlatformResponse> {
    const waitMs = this.#reserveCall(request);
    if (waitMs === undefined) return { kind: "failed", reason: "rate_limited" };
    if (waitMs > 0) await waitFor(waitMs);
    return await this.#sendRequest(request);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#connection.close();
  }

  async #sendRequest(request: PlatformRequest): Promise<PlatformResponse> {
    const watchWaitMs = this.#options.watchWaitMs ?? WATCH_WAIT_MS;
    const timeoutMs = request.kind === "watch"
      ? watchWaitMs + WATCH_TIMEOUT_MARGIN_MS
      : this.#options.callTimeoutMs ?? CALL_TIMEOUT_MS;
    const response = await runBufferedExchange(
      this.#connection,
      {
        ...encodeRequest(request, watchWaitMs),
        silenceTimeoutMs: timeoutMs,
        freshConnection: false,
      },
      { totalTimeoutMs: timeoutMs, maxBytes: MAX_RESPONSE_BYTES },
    );
    return decodeResponse(request, response);
  }

  #reserveCall(request: PlatformRequest): number | undefined {
    const isWrite = request.kind === "put" || request.kind === "delete";
    const bucket = isWrite ? this.#writes : this.#reads;
    if (bucket === undefined) return 0;
    const maxWaitMs = this.#options.maxQueueMs ?? MAX_QUEUE_MS;
    return bucket.reserve(performance.now(), maxWaitMs);
  }
}

function createBucket(perSecond: number | undefined): TokenBucket | undefined {
  if (perSecond === undefined) return undefined;
  const burst = Math.max(1, perSecond * BURST_SECONDS);
  return new TokenBucket({ perSecond, burst }, performance.now());
}
