/**
 * What the caller API needs of the node behind it.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  CallerAnswer,
  CallerRequest,
  Partner,
  ProgramId,
} from "@camphorlock/types";
import type { Result } from "neverthrow";

/** A request that was handed to the node. */
export interface SubmittedRequest {
  /** Tells the node that the caller has gone. The call itself goes on. */
  cancel(): void;
}

/** How a request is submitted. */
export interface SubmitOptions {
  /** Whether the caller may have sent the same request before. */
  readonly mayBeRepeat: boolean;
  /** Receives the answers; the last one isn't of kind `text`. */
  readonly onAnswer: (answer: CallerAnswer) => void;
}

/** What a new program's id is derived from. */
export interface ProgramIdSeed {
  readonly partner: Partner;
  readonly parentId?: ProgramId;
  /** The idempotency key of the creation, if the caller gave one. */
  readonly key?: string;
}

/** An operator's statement. */
export interface OperateRequest {
  readonly statement: string;
  readonly by: string;
}

/** The answer to an operator's statement: rows, text or a change. */
export interface OperateAnswer {
  readonly text: string;
  readonly data: unknown;
}

/** The node as the caller API sees it. */
export interface CallerPort {
  runRequest(request: CallerRequest, options: SubmitOptions): SubmittedRequest;
  createProgramId(seed: ProgramIdSeed): Result<ProgramId, Failure>;
  operate(request: OperateRequest): Promise<Result<OperateAnswer, Failure>>;
  /** Whether the node takes new requests, or why not. */
  checkReady(): Result<void, Failure>;
  renderMetrics(): string;
}
