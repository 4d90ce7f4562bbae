/**
 * Exchanges whose response is buffered completely before it's used.
 */
import { GrowingBuffer } from "./growing_buffer.ts";
import type {
  Exchange,
  ExchangeEnd,
  PeerConnection,
  PeerHeaders,
  PeerRequest,
  ResponseReceiver,
} from "./peer_connection.ts";

/**
 * Shortest body that is kept in the pieces in which it arrives: many copies of
 * large ones wait for collection at the same time.
 */
const PIECES_BYTES = 65_536;

/** A complete response, or the reason for its absence. */
export type BufferedResponse =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: PeerHeaders;
    /** The body as one buffer; a copy where there are several pieces. */
    readonly body: Uint8Array;
    readonly pieces: readonly Uint8Array[];
    /** Whether the connection carried an earlier exchange. */
    readonly isReused: boolean;
  }
  | { readonly kind: "not_sent"; readonly detail: string }
  | { readonly kind: "broken"; readonly detail: string };

/** Limits of one buffered exchange. */
export interface BufferedResponseLimits {
  /** Longest time until the response is complete. */
  readonly totalTimeoutMs: number;
  readonly maxBytes: number;
  /** Calls back once so many bytes may be held; absent if all may. */
  readonly reserve?: (bytes: number, handleReserved: () => void) => void;
  /** Whether nobody needs the body any more, so that it's read and dropped. */
  readonly isDropping?: () => boolean;
}

/** A running exchange with a buffered response. */
export interface RunningBufferedExchange {
  /** Never rejects; never settles once cancelled. */
  readonly answer: Promise<BufferedResponse>;
  cancel(): void;
  /** Reads on, once the body is to be dropped. */
  resume(): void;
}

/** Runs a request until its response is complete. Never rejects. */
export function runBufferedExchange(
  connection: PeerConnection,
  request: PeerRequest,
  limits: BufferedResponseLimits,
): Promise<BufferedResponse> {
  return startBufferedExchange(connection, request, limits).answer;
}

/** Starts a request whose response is buffered. */
export function startBufferedExchange(
  connection: PeerConnection,
  request: PeerRequest,
  limits: BufferedResponseLimits,
): RunningBufferedExchange {
  const reader = new BufferedResponseReader(limits);
  reader.start(connection, request);
  return reader;
}

class BufferedResponseReader
  implements ResponseReceiver, RunningBufferedExchange {
  readonly answer: Promise<BufferedResponse>;
  readonly #limits: BufferedResponseLimits;
  /** Takes what arrives where the length isn't known, or no memory is free. */
  readonly #received: GrowingBuffer;
  #resolve: (response: BufferedResponse) => void = () => {};
  #exchange: Exchange | undefined;
  #timer: NodeJS.Timeout | undefined;
  #bytes = 0;
  /** Allocated at once where the length is known, and small. */
  #buffer: Uint8Array | undefined;
  #isLengthReserved = false;
  #status = 0;
  #headers: PeerHeaders = {};

  constructor(limits: BufferedResponseLimits) {
    this.#limits = limits;
    this.#received = new GrowingBuffer({
      maxBytes: limits.maxBytes,
      keepsPieces: true,
    });
    this.answer = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  start(connection: PeerConnection, request: PeerRequest): void {
    this.#exchange = connection.start(request, this);
    // Starts after the exchange's own timer, so that silence is reported first.
    const { totalTimeoutMs } = this.#limits;
    this.#timer = setTimeout(
      () => this.#endEarly(`no complete response within ${totalTimeoutMs} ms`),
      totalTimeoutMs,
    );
  }

  cancel(): void {
    clearTimeout(this.#timer);
    this.#exchange?.cancel();
  }

  resume(): void {
    this.#exchange?.resume();
  }

  handleHead(status: number, headers: PeerHeaders): void {
    this.#status = status;
    this.#headers = headers;
    const length = Number(getHeader(headers, "content-length") ?? 0);
    if (length > this.#limits.maxBytes) {
      return this.#endEarly("the response exceeds the size limit");
    }
    if (length === 0 || this.#limits.isDropping?.() === true) return;
    this.#isLengthReserved = true;
    this.#reserve(length, () => {
      // What arrived during the wait is kept where it is.
      const isKept = this.#bytes > 0 || length >= PIECES_BYTES;
      if (!isKept) this.#buffer = Buffer.allocUnsafe(length);
    });
  }

  handleData(chunk: Uint8Array): void {
    if (this.#limits.isDropping?.() === true) return this.#resetBody();
    const offset = this.#bytes;
    this.#bytes += chunk.length;
    if (this.#bytes > this.#limits.maxBytes) {
      return this.#endEarly("the response exceeds the size limit");
    }
    if (this.#buffer !== undefined) {
      this.#buffer.set(chunk, offset);
      return;
    }
    const growth = this.#received.computeGrowth(chunk);
    this.#received.append(chunk);
    if (growth > 0 && !this.#isLengthReserved) this.#reserve(growth, () => {});
  }

  #resetBody(): void {
    this.#received.reset();
    this.#buffer = undefined;
    this.#exchange?.resume();
  }

  /** Stops reading until the bytes may be held. */
  #reserve(bytes: number, handleReserved: () => void): void {
    const { reserve } = this.#limits;
    if (reserve === undefined) return handleReserved();
    let isReserved = false;
    reserve(bytes, () => {
      isReserved = true;
      handleReserved();
      this.#exchange?.resume();
    });
    if (!isReserved) this.#exchange?.pause();
  }

  handleEnd(end: ExchangeEnd): void {
    clearTimeout(this.#timer);
    this.#resolve(this.#buildResponse(end));
  }

  #endEarly(detail: string): void {
    const kind = this.#exchange?.wasSent === false ? "not_sent" : "broken";
    this.cancel();
    this.#resolve({ kind, detail });
  }

  #buildResponse(end: ExchangeEnd): BufferedResponse {
    if (end.kind !== "ended") return end;
    const pieces = this.#buffer === undefined
      ? this.#received.listPieces()
      : [this.#buffer.subarray(0, this.#bytes)];
    return {
      kind: "answered",
      status: this.#status,
      headers: this.#headers,
      get body() {
        const [only] = pieces;
        return pieces.length === 1 && only !== undefined
          ? only
          : Buffer.concat(pieces);
      },
      pieces,
      isReused: this.#exchange?.isReused ?? false,
    };
  }
}

/** Reads the first value of a header. */
export function getHeader(
  headers: PeerHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
