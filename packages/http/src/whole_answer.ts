/**
 * Exchanges whose answer is read whole before it's used.
 */
import type {
  AnswerReceiver,
  Exchange,
  ExchangeEnd,
  PeerConnection,
  PeerHeaders,
  PeerRequest,
} from "./peer_connection.ts";

/** A whole answer, or the reason for its absence. */
export type WholeAnswer =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: PeerHeaders;
    readonly body: Uint8Array;
  }
  | { readonly kind: "not_sent"; readonly detail: string }
  | { readonly kind: "broken"; readonly detail: string };

/** Bounds of one whole exchange. */
export interface WholeAnswerLimits {
  /** Longest time until the whole answer is here. */
  readonly totalTimeoutMs: number;
  readonly maxBytes: number;
}

/** An exchange whose answer is awaited whole. */
export interface RunningWhole {
  /** Never rejects; never settles once cancelled. */
  readonly answer: Promise<WholeAnswer>;
  cancel(): void;
}

/** Runs a request to its whole answer. Never rejects. */
export function runWhole(
  connection: PeerConnection,
  request: PeerRequest,
  limits: WholeAnswerLimits,
): Promise<WholeAnswer> {
  return startWhole(connection, request, limits).answer;
}

/** Starts a request whose answer is awaited whole. */
export function startWhole(
  connection: PeerConnection,
  request: PeerRequest,
  limits: WholeAnswerLimits,
): RunningWhole {
  const reader = new WholeReader(limits);
  reader.start(connection, request);
  return reader;
}

class WholeReader implements AnswerReceiver, RunningWhole {
  readonly answer: Promise<WholeAnswer>;
  readonly #limits: WholeAnswerLimits;
  readonly #chunks: Uint8Array[] = [];
  #resolve: (answer: WholeAnswer) => void = () => {};
  #exchange: Exchange | undefined;
  #timer: NodeJS.Timeout | undefined;
  #bytes = 0;
  #status = 0;
  #headers: PeerHeaders = {};

  constructor(limits: WholeAnswerLimits) {
    this.#limits = limits;
    this.answer = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  start(connection: PeerConnection, request: PeerRequest): void {
    this.#exchange = connection.start(request, this);
    // Starts after the exchange's own timer, so that silence is told first.
    const { totalTimeoutMs } = this.#limits;
    this.#timer = setTimeout(
      () => this.#endEarly(`no whole answer in ${totalTimeoutMs} ms`),
      totalTimeoutMs,
    );
  }

  cancel(): void {
    clearTimeout(this.#timer);
    this.#exchange?.cancel();
  }

  handleHead(status: number, headers: PeerHeaders): void {
    this.#status = status;
    this.#headers = headers;
  }

  handleData(chunk: Uint8Array): void {
    this.#bytes += chunk.length;
    if (this.#bytes > this.#limits.maxBytes) {
      this.#endEarly("the answer is too large");
    } else {
      this.#chunks.push(chunk);
    }
  }

  handleEnd(end: ExchangeEnd): void {
    clearTimeout(this.#timer);
    this.#resolve(this.#buildAnswer(end));
  }

  #endEarly(detail: string): void {
    const kind = this.#exchange?.wasSent === false ? "not_sent" : "broken";
    this.cancel();
    this.#resolve({ kind, detail });
  }

  #buildAnswer(end: ExchangeEnd): WholeAnswer {
    if (end.kind !== "ended") return end;
    if (!isDelimited(this.#status, this.#headers)) {
      return { kind: "broken", detail: "the answer's end can't be told" };
    }
    return {
      kind: "answered",
      status: this.#status,
      headers: this.#headers,
      body: Buffer.concat(this.#chunks),
    };
  }
}

/**
 * Whether a cut answer can be told from a whole one: an answer that ends with
 * its connection looks whole wherever it's cut.
 */
export function isDelimited(status: number, headers: PeerHeaders): boolean {
  if (status === 204 || status === 304) return true;
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/** Reads a header that occurs once. */
export function getHeader(
  headers: PeerHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
