/**
 * What frames a response: its status, whether the end of its body is marked,
 * and how much there may be beside the body.
 */
import type { PeerHeaders } from "./peer_connection.ts";

/**
 * Bytes of a response beside its body: its head, and what frames the body. A
 * peer that fails may send such bytes without end.
 */
const MAX_FRAMING_BYTES = 262_144;
/**
 * Interim responses before a response. Each takes far more memory than its bytes
 * until it's collected; a server that reports its progress every second sends
 * fewer than this in two minutes.
 */
const MAX_INTERIM_RESPONSES = 128;
/** Framing of the smallest chunks, for each byte of the body. */
const FRAMING_PER_BODY_BYTE = 8;
/** Other statuses aren't of HTTP, and nobody can say what they mean. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Whether a number is a status of HTTP. */
export function isStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}

/**
 * Whether the end of a response's body is marked in the response itself. One
 * that isn't looks complete wherever an orderly end cuts it. Of the codings of
 * a transfer only chunks have an end, and only as the last one.
 */
export function isDelimited(status: number, headers: PeerHeaders): boolean {
  if (status === 204 || status === 304) return true;
  if (headers["content-length"] !== undefined) return true;
  const coding = headers["transfer-encoding"];
  const codings = Array.isArray(coding) ? coding.join() : coding ?? "";
  return /(^|[,\s])chunked\s*$/i.test(codings);
}

/** Counts what frames one response, beside its body. */
export class ResponseFraming {
  #bodyBytes = 0;
  #interimResponses = 0;

  recordBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  recordInterim(): void {
    this.#interimResponses += 1;
  }

  /** Describes framing without end, of so many bytes with the body, if it is. */
  findExcess(bytes: number): string | undefined {
    if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
      return `${this.#interimResponses} interim responses`;
    }
    const allowedBytes = MAX_FRAMING_BYTES +
      this.#bodyBytes * FRAMING_PER_BODY_BYTE;
    if (bytes - this.#bodyBytes <= allowedBytes) return undefined;
    return `${bytes} bytes, of which the body has ${this.#bodyBytes}`;
  }
}
