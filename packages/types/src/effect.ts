/**
 * Effects: the I/O that decisions request. Decisions themselves do no I/O; the
 * caller of a decision carries out its effects.
 */
import type { AttemptId, RequestId, TargetId, VmId } from "./ids.ts";
import type { CallerResponse } from "./caller.ts";
import type { PeerMessage } from "./peer_message.ts";
import type { PlatformRequest, PlatformToken } from "./platform.ts";
import type { AttemptOrder, TargetOrder } from "./target.ts";

/** One action to carry out. The effects of a list are carried out in order. */
export type Effect =
  | {
    readonly kind: "send_peer";
    readonly to: VmId;
    readonly message: PeerMessage;
  }
  | {
    readonly kind: "call_platform";
    readonly token: PlatformToken;
    readonly request: PlatformRequest;
  }
  | {
    readonly kind: "answer_caller";
    readonly requestId: RequestId;
    readonly answer: CallerResponse;
  }
  | { readonly kind: "start_attempt"; readonly order: AttemptOrder }
  | {
    /** Reads, from the start, an attempt that an earlier owner started. */
    readonly kind: "resume_attempt";
    readonly order: AttemptOrder;
  }
  | {
    readonly kind: "cancel_attempt";
    readonly attemptId: AttemptId;
    readonly targetId: TargetId;
  }
  | {
    readonly kind: "order_target";
    readonly targetId: TargetId;
    readonly number: number;
    readonly order: TargetOrder;
  }
  | { readonly kind: "log"; readonly record: LogRecord };

/** A numbered log event. `event` is in EVENTS.md. */
export interface LogRecord {
  readonly event: number;
  readonly fields: LogFields;
}

/** The named values of a log event. */
export interface LogFields {
  readonly [name: string]: LogValue;
}

/** A value in a log event. */
export type LogValue =
  | string
  | number
  | boolean
  | undefined
  | readonly LogValue[]
  | LogFields;
