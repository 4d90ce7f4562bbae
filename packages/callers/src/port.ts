/**
 * The interface through which the caller API uses its node.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  CallerRequest,
  CallerResponse,
  Partner,
  ProgramId,
} from "@camphorlock/types";
import type { Result } from "neverthrow";

/** A request that was submitted to the node. */
export interface SubmittedRequest {
  /** Notifies the node that the caller disconnected. The call continues. */
  cancel(): void;
}

/** Options of a submitted request. */
export interface SubmitOptions {
  /** Whether the caller may have sent the same request before. */
  readonly mayBeRepeat: boolean;
  /** Receives the parts of the response; the last isn't of kind `text`. */
  readonly onResponsePart: (part: CallerResponse) => void;
}

/** The values from which the id of a new program is derived. */
export interface ProgramIdSeed {
  readonly partner: Partner;
  readonly parentId?: ProgramId;
  /** The idempotency key of the creation, if the caller sent one. */
  readonly key?: string;
}

/** An operator's statement. */
export interface OperateRequest {
  readonly statement: string;
  readonly by: string;
}

/** The response to an operator's statement, as text and as JSON data. */
export interface OperateResponse {
  readonly text: string;
  readonly data: unknown;
}

/** The operations of a node that the caller API uses. */
export interface CallerPort {
  runRequest(request: CallerRequest, options: SubmitOptions): SubmittedRequest;
  createProgramId(seed: ProgramIdSeed): Result<ProgramId, Failure>;
  operate(request: OperateRequest): Promise<Result<OperateResponse, Failure>>;
  /** Succeeds if the node accepts new requests; else fails with the reason. */
  checkReady(): Result<void, Failure>;
  renderMetrics(): string;
}
