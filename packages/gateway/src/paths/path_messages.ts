/**
 * The messages with which a gateway asks another one to connect it to a target.
 */

/** Asks for a connection to a target on the connection that carries the call. */
export interface PathCall {
  readonly kind: "open_path";
  readonly targetId: string;
  /** When the target's process started, as in its entry. */
  readonly startedAtMs: number;
}

/** Tells that a target leaves, as it said through the receiver. */
export interface LeavingNotice {
  readonly kind: "share_leaving";
  readonly targetId: string;
  /** When the target's process started, as in its entry. */
  readonly startedAtMs: number;
}

/** The messages about ways to targets. */
export type PathMessage = PathCall | LeavingNotice;

/** What became of the call. */
export type PathAnswer =
  /** What follows on the connection goes to the target, or is its own. */
  | {
    readonly kind: "open";
    /** Connections that the gateway relays now. */
    readonly relayed: number;
  }
  /** The target's VM refuses connections. */
  | { readonly kind: "target_refuses" }
  /** The target can't be connected to, for another reason. */
  | { readonly kind: "target_silent" }
  /** The target isn't registered, or takes no new work. */
  | { readonly kind: "target_unusable" }
  /** The gateway can't help; others may, such as the named ones. */
  | {
    readonly kind: "unavailable";
    readonly reason: "cut_off" | "busy" | "leaving";
    readonly relays: readonly string[];
  };

const ANSWER_KINDS: readonly PathAnswer["kind"][] = [
  "open",
  "target_refuses",
  "target_silent",
  "target_unusable",
  "unavailable",
];

/** Whether a message asks for a connection to a target. */
export function isPathCall(message: unknown): message is PathCall {
  const call = message as Partial<PathCall> | null | undefined;
  return call?.kind === "open_path" && typeof call.targetId === "string" &&
    typeof call.startedAtMs === "number";
}

/** Finds the answer in a response; undefined if it isn't one. */
export function findPathAnswer(body: unknown): PathAnswer | undefined {
  const answer = (body as { path?: Partial<PathAnswer> } | null)?.path;
  const kind = answer?.kind;
  if (kind === undefined || !ANSWER_KINDS.includes(kind)) return undefined;
  if (answer?.kind === "unavailable") {
    const relays = Array.isArray(answer.relays)
      ? answer.relays.filter((each) => typeof each === "string")
      : [];
    return { kind: "unavailable", reason: answer.reason ?? "busy", relays };
  }
  if (answer?.kind === "open") {
    return { kind: "open", relayed: Number(answer.relayed) || 0 };
  }
  return answer as PathAnswer;
}
