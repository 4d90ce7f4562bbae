/**
 * Connects the caller API to the node's core.
 */
import type {
  CallerPort,
  OperateRequest,
  OperateResponse,
  ProgramIdSeed,
  SubmitOptions,
  SubmittedRequest,
} from "@camphorlock/callers";
import { createFailure, type Failure } from "@camphorlock/codes";
import type { NodeCore, NodeInput } from "@camphorlock/scheduler";
import {
  type CallerRequest,
  type CallerResponse,
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

/** The parts of the node that the adapter uses. */
export interface CallerAdapterOptions {
  readonly core: NodeCore;
  readonly shardCount: number;
  /** Prefix of request ids, unique to this process. */
  readonly processName: string;
  readonly metrics: Metrics;
  readonly handle: (input: NodeInput) => void;
  readonly operate: (
    request: OperateRequest,
  ) => Promise<Result<OperateResponse, Failure>>;
}

interface PendingRequest {
  readonly onResponsePart: SubmitOptions["onResponsePart"];
  readonly openedAtMs: number;
  hasText: boolean;
}

/** Passes callers' requests to the node's core, and responses back. */
export class CallerAdapter implements CallerPort {
  readonly #options: CallerAdapterOptions;
  readonly #pending = new Map<RequestId, PendingRequest>();
  #requestCount = 0;

  constructor(options: CallerAdapterOptions) {
    this.#options = options;
  }

  /** Passes a request to the node's core. */
  runRequest(
    request: CallerRequest,
    options: SubmitOptions,
  ): SubmittedRequest {
    const { processName, metrics, handle } = this.#options;
    metrics.add("caller_requests");
    const ready = this.checkReady();
    if (ready.isErr()) return this.#refuse(options, ready.error);
    this.#requestCount += 1;
    const requestId = `${processName}-${this.#requestCount}`;
    const openedAtMs = performance.now();
    const { onResponsePart, mayBeRepeat } = options;
    this.#pending.set(requestId, {
      onResponsePart,
      openedAtMs,
      hasText: false,
    });
    handle({ kind: "caller_request", requestId, request, mayBeRepeat });
    return {
      cancel: () => {
        if (!this.#pending.delete(requestId)) return;
        handle({ kind: "caller_gone", requestId });
      },
    };
  }

  /** Passes a response of the node's core to the caller. */
  sendResponse(requestId: RequestId, response: CallerResponse): void {
    const pending = this.#pending.get(requestId);
    if (pending === undefined) return;
    const { metrics } = this.#options;
    const elapsedMs = performance.now() - pending.openedAtMs;
    if (response.kind === "text") {
      if (!pending.hasText) metrics.record("first_text", elapsedMs);
      pending.hasText = true;
    } else {
      this.#pending.delete(requestId);
      metrics.record("caller_request", elapsedMs);
      if (response.kind === "refused") metrics.add("caller_refusals");
    }
    pending.onResponsePart(response);
  }

  /**
   * Creates the id of a new program. A sub-program gets its parent's shard. The
   * same key always gives the same id.
   */
  createProgramId(seed: ProgramIdSeed): Result<ProgramId, Failure> {
    const { partner, parentId, key } = seed;
    const suffix = key === undefined
      ? randomBytes(SUFFIX_BYTES).toString("hex")
      : computeSuffix(`${partner}/${parentId ?? ""}/${key}`);
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

  /** Succeeds if the node accepts requests; else fails with the reason. */
  checkReady(): Result<void, Failure> {
    return this.#options.core.checkReady(performance.now());
  }

  /** Runs an operator's statement. */
  operate(request: OperateRequest): Promise<Result<OperateResponse, Failure>> {
    return this.#options.operate(request);
  }

  /** Renders the node's metrics in the Prometheus text format. */
  renderMetrics(): string {
    return this.#options.metrics.render();
  }

  /** Prefers own shards, since a program's first calls often use this node. */
  #chooseOwnShard(suffix: string): ShardId {
    const ownShards = this.#options.core.listServing();
    const number = Number.parseInt(suffix.slice(0, SHARD_DIGITS), HEX);
    return ownShards[number % ownShards.length] ?? this.#chooseShard(suffix);
  }

  #chooseShard(suffix: string): ShardId {
    const number = Number.parseInt(suffix.slice(0, SHARD_DIGITS), HEX);
    return number % this.#options.shardCount;
  }

  #refuse(options: SubmitOptions, failure: Failure): SubmittedRequest {
    this.#options.metrics.add("caller_refusals");
    queueMicrotask(() => options.onResponsePart({ kind: "refused", failure }));
    return { cancel: () => undefined };
  }
}

function computeSuffix(text: string): string {
  return createHash("sha256").update(text).digest("hex")
    .slice(0, SUFFIX_DIGITS);
}
