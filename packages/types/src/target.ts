/**
 * Targets, attempts to run calls on them, and the events of attempts.
 */
import type {
  AttemptId,
  CallId,
  FailureDomain,
  ProgramId,
  Region,
  TargetId,
} from "./ids.ts";
import type { Call, Usage } from "./program.ts";

/** A target as configured. */
export interface TargetSpec {
  readonly targetId: TargetId;
  readonly kind: "engine" | "service";
  /** The models that an engine serves, or the name of the service. */
  readonly serves: readonly string[];
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly address: string;
  /** Whether the target refuses orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Whether the target accepts no new work because it's about to stop. */
  readonly leaving: boolean;
}

/** One attempt to run a call, ready to be sent. */
export interface AttemptOrder {
  readonly attemptId: AttemptId;
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly targetId: TargetId;
  readonly call: Call;
  /** Text of an earlier attempt, from which the engine continues. */
  readonly prefixText: string;
  /** Time without progress after which the attempt counts as stalled. */
  readonly progressTimeoutMs: number;
}

/** An event of an attempt, as observed by the node that started it. */
export type AttemptEvent =
  | {
    readonly kind: "text";
    /** Characters of the response before this text. */
    readonly offset: number;
    readonly text: string;
    readonly tokens: number;
  }
  | {
    readonly kind: "completed";
    readonly text: string;
    readonly usage: Usage;
  }
  | {
    /** The target responded with an error. */
    readonly kind: "rejected";
    readonly status: number;
    readonly detail: string;
    /** Whether the target states that it ran nothing. */
    readonly notRun: boolean;
  }
  | {
    /** No byte of the request can have reached the target. */
    readonly kind: "not_sent";
    readonly detail: string;
  }
  | {
    /** The connection broke or timed out after the request was sent. */
    readonly kind: "broken";
    readonly detail: string;
  };

/** An order to a target to release memory, or to load or unload a model. */
export type TargetOrder =
  | { readonly kind: "release"; readonly programId: ProgramId }
  | {
    readonly kind: "load_model";
    readonly model: string;
    readonly fence: number;
  }
  | {
    readonly kind: "unload_model";
    readonly model: string;
    readonly fence: number;
  };

/** The response of a target to an order. */
export type TargetOrderResult =
  | { readonly kind: "done" }
  | { readonly kind: "fenced"; readonly highest: number }
  | { readonly kind: "failed"; readonly detail: string };
