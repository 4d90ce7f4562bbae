/**
 * Client of the platform's weight store, which limits reads per second.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { err, ok, type Result } from "neverthrow";
import { PeerConnection } from "@camphorlock/http";
import { getHeader, runWhole, type WholeAnswer } from "@camphorlock/http";

const PART_TIMEOUT_MS = 30_000;
const SILENCE_TIMEOUT_MS = 5_000;
const MAX_PART_BYTES = 16 * 1024 * 1024;
const DEFAULT_RETRY_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** A part of a weight file. */
export interface WeightPart {
  readonly bytes: Uint8Array;
  /** Size of the whole file. */
  readonly totalBytes: number;
}

/** Which part to read. */
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
   * Reads a part of a weight file. Fails with `PlatformUnavailable`, with the
   * time to wait where the store's rate was reached.
   */
  async readPart(
    name: string,
    range: WeightRange,
  ): Promise<Result<WeightPart, Failure>> {
    const query = `offset=${range.offset}&limit=${range.limit}`;
    const answer = await runWhole(
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
    return decodePart(answer);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#connection.close();
  }
}

function decodePart(answer: WholeAnswer): Result<WeightPart, Failure> {
  if (answer.kind !== "answered") {
    return err(createFailure("PlatformUnavailable", answer.detail));
  }
  if (answer.status === 429) {
    const seconds = Number(getHeader(answer.headers, "retry-after"));
    const waitMs = seconds > 0 ? seconds * MS_PER_SECOND : DEFAULT_RETRY_MS;
    const detail = "the weight store's rate was reached";
    return err(createFailure("PlatformUnavailable", detail, waitMs));
  }
  const range = getHeader(answer.headers, "content-range") ?? "";
  const total = /^bytes \d+-(?:\d+|\*)\/(\d+)$/.exec(range)?.[1];
  if (answer.status !== 200 || total === undefined) {
    const detail = `status ${answer.status}, range "${range}"`;
    return err(createFailure("PlatformUnavailable", detail));
  }
  return ok({ bytes: answer.body, totalBytes: Number(total) });
}
