/**
 * Client of the platform's weight store, which limits the reads per second.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { err, ok, type Result } from "neverthrow";
import { PeerConnection } from "@camphorlock/http";
import {
  type BufferedResponse,
  getHeader,
  runBufferedExchange,
} from "@camphorlock/http";

const PART_TIMEOUT_MS = 30_000;
const SILENCE_TIMEOUT_MS = 5_000;
const MAX_PART_BYTES = 16 * 1024 * 1024;
const DEFAULT_RETRY_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** A part of a weight file. */
export interface WeightPart {
  readonly bytes: Uint8Array;
  /** Size of the complete file. */
  readonly totalBytes: number;
}

/** The byte range of a part. */
export interface WeightRange {
  readonly offset: number;
  readonly limit: number;
}

/** Client of the weight store. */
export class WeightStoreClient {
  readonly #connection: PeerConnection;

  constructor(options: { readonly baseUrl: string }) {
    this.#connection = new PeerConnection(options);
  }

  /**
   * Reads a part of a weight file. Fails with `PlatformUnavailable`, which has
   * the time to wait if the store's rate limit was reached.
   */
  async readPart(
    name: string,
    range: WeightRange,
  ): Promise<Result<WeightPart, Failure>> {
    const query = `offset=${range.offset}&limit=${range.limit}`;
    const response = await runBufferedExchange(
      this.#connection,
      {
        method: "GET",
        path: `/v1/weights/${encodeURIComponent(name)}?${query}`,
        headers: {},
        silenceTimeoutMs: SILENCE_TIMEOUT_MS,
        freshConnection: false,
      },
      { totalTimeoutMs: PART_TIMEOUT_MS, maxBytes: MAX_PART_BYTES },
    );
    return decodePart(response);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#connection.close();
  }
}

function decodePart(response: BufferedResponse): Result<WeightPart, Failure> {
  if (response.kind !== "answered") {
    return err(createFailure("PlatformUnavailable", response.detail));
  }
  if (response.status === 429) {
    const seconds = Number(getHeader(response.headers, "retry-after"));
    const waitMs = seconds > 0 ? seconds * MS_PER_SECOND : DEFAULT_RETRY_MS;
    const detail = "the weight store's rate limit was reached";
    return err(createFailure("PlatformUnavailable", detail, waitMs));
  }
  const range = getHeader(response.headers, "content-range") ?? "";
  const total = /^bytes \d+-(?:\d+|\*)\/(\d+)$/.exec(range)?.[1];
  if (response.status !== 200 || total === undefined) {
    const detail = `status ${response.status}, range "${range}"`;
    return err(createFailure("PlatformUnavailable", detail));
  }
  return ok({ bytes: response.body, totalBytes: Number(total) });
}
