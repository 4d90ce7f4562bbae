/**
 * Targets, attempts on them and what they report.
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
  /** The models an engine serves or the service's name. */
  readonly serves: readonly string[];
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly address: string;
  /** Whether orders with an old fencing number are refused by the target. */
  readonly checksFencing: boolean;
  /** Whether the target takes no new work because it's about to stop. */
  readonly leaving: boolean;
}

/** One attempt to run a call, ready to be sent. */
export interface AttemptOrder {
  readonly attemptId: AttemptId;
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly targetId: TargetId;
  readonly call: Call;
  /** Text that an earlier attempt produced and the engine continues from. */
  readonly prefixText: string;
  /** Longest silence of the target before the attempt counts as stalled. */
  readonly progressTimeoutMs: number;
}

/** What happened to an attempt, as its own node observed it. */
export type AttemptEvent =
  | {
    readonly kind: "text";
    /** Count of characters of the answer before this text. */
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
    /** The target answered with an error of its own. */
    readonly kind: "rejected";
    readonly status: number;
    readonly detail: string;
    /** Whether the target itself states that nothing was run. */
    readonly notRun: boolean;
  }
  | {
    /** No byte of the request can have reached the target. */
    readonly kind: "not_sent";
    readonly detail: string;
  }
  | {
    /** The connection broke or went silent after the request was sent. */
    readonly kind: "broken";
    readonly detail: string;
  };

/** An order to a target about what it holds or serves. */
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

/** The answer of a target to an order. */
export type TargetOrderResult =
  | { readonly kind: "done" }
  | { readonly kind: "fenced"; readonly highest: number }
  | { readonly kind: "failed"; readonly detail: string };
