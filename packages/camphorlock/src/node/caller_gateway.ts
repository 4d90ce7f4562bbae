/**
 * Connects the caller API to the node: requests in, answers out.
 */
import type {
  CallerPort,
  OperateAnswer,
  OperateRequest,
  ProgramIdSeed,
  SubmitOptions,
  SubmittedRequest,
} from "@camphorlock/callers";
import { createFailure, type Failure } from "@camphorlock/codes";
import type { NodeCore, NodeInput } from "@camphorlock/scheduler";
import {
  type CallerAnswer,
  type CallerRequest,
  formatProgramId,
  parseShardOf,
  type ProgramId,
  type RequestId,
  type ShardId,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { createHash, randomBytes } from "node:crypto";
import type { Metrics } from "../metrics/metrics.ts";

const SUFFIX_BYTES = 8;
const SUFFIX_DIGITS = 16;
const SHARD_DIGITS = 8;
const HEX = 16;

/** What the gateway stands between. */
export interface CallerGatewayOptions {
  readonly core: NodeCore;
  readonly shardCount: number;
  /** Names this process in request ids. */
  readonly processName: string;
  readonly metrics: Metrics;
  readonly handle: (input: NodeInput) => void;
  readonly operate: (
    request: OperateRequest,
  ) => Promise<Result<OperateAnswer, Failure>>;
}

interface OpenAnswer {
  readonly onAnswer: SubmitOptions["onAnswer"];
  readonly openedAtMs: number;
  hasText: boolean;
}

/** The node as the caller API sees it. */
export class CallerGateway implements CallerPort {
  readonly #options: CallerGatewayOptions;
  readonly #open = new Map<RequestId, OpenAnswer>();
  #requests = 0;

  constructor(options: CallerGatewayOptions) {
    this.#options = options;
  }

  /** Hands a request to the node. */
  runRequest(
    request: CallerRequest,
    options: SubmitOptions,
  ): SubmittedRequest {
    const { processName, metrics, handle } = this.#options;
    metrics.add("caller_requests");
    const ready = this.checkReady();
    if (ready.isErr()) return this.#refuse(options, ready.error);
    this.#requests += 1;
    const requestId = `${processName}-${this.#requests}`;
    const openedAtMs = performance.now();
    const { onAnswer, mayBeRepeat } = options;
    this.#open.set(requestId, { onAnswer, openedAtMs, hasText: false });
    handle({ kind: "caller_request", requestId, request, mayBeRepeat });
    return {
      cancel: () => {
        if (!this.#open.delete(requestId)) return;
        handle({ kind: "caller_gone", requestId });
      },
    };
  }

  /** Passes an answer of the node to the request's caller. */
  answer(requestId: RequestId, answer: CallerAnswer): void {
    const open = this.#open.get(requestId);
    if (open === undefined) return;
    const { metrics } = this.#options;
    const elapsedMs = performance.now() - open.openedAtMs;
    if (answer.kind === "text") {
      if (!open.hasText) metrics.record("first_text", elapsedMs);
      open.hasText = true;
    } else {
      this.#open.delete(requestId);
      metrics.record("caller_request", elapsedMs);
      if (answer.kind === "refused") metrics.add("caller_refusals");
    }
    open.onAnswer(answer);
  }

  /**
   * Creates the id of a new program. A sub-program shares its parent's shard,
   * and a creation with a key always gets the same id.
   */
  createProgramId(seed: ProgramIdSeed): Result<ProgramId, Failure> {
    const { partner, parentId, key } = seed;
    const suffix = key === undefined
      ? randomBytes(SUFFIX_BYTES).toString("hex")
      : computeHex(`${partner}/${parentId ?? ""}/${key}`);
    if (parentId === undefined) {
      const shard = key === undefined
        ? this.#chooseOwnShard(suffix)
        : this.#chooseShard(suffix);
      return ok(formatProgramId(shard, suffix));
    }
    const shard = parseShardOf(parentId);
    if (shard === undefined) {
      return err(createFailure("ProgramIdInvalid", `parent ${parentId}`));
    }
    return ok(formatProgramId(shard, suffix));
  }

  /** Whether the node takes new requests, or why not. */
  checkReady(): Result<void, Failure> {
    return this.#options.core.checkReady(performance.now());
  }

  /** Runs an operator's statement. */
  operate(request: OperateRequest): Promise<Result<OperateAnswer, Failure>> {
    return this.#options.operate(request);
  }

  /** Renders the node's metrics for scraping. */
  renderMetrics(): string {
    return this.#options.metrics.render();
  }

  /** A program's first calls often come to the node that created it. */
  #chooseOwnShard(suffix: string): ShardId {
    const own = this.#options.core.listServing();
    const number = Number.parseInt(suffix.slice(0, SHARD_DIGITS), HEX);
    return own[number % own.length] ?? this.#chooseShard(suffix);
  }

  #chooseShard(suffix: string): ShardId {
    const number = Number.parseInt(suffix.slice(0, SHARD_DIGITS), HEX);
    return number % this.#options.shardCount;
  }

  #refuse(options: SubmitOptions, failure: Failure): SubmittedRequest {
    this.#options.metrics.add("caller_refusals");
    queueMicrotask(() => options.onAnswer({ kind: "refused", failure }));
    return { cancel: () => undefined };
  }
}

function computeHex(text: string): string {
  return createHash("sha256").update(text).digest("hex")
    .slice(0, SUFFIX_DIGITS);
}
