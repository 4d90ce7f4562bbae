/**
 * Remembers where the turns of a conversation ran last: that target has the
 * conversation so far in its cache, although each turn brings its whole prompt.
 * A line of turns that begins continues the prompt of its program.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import type { RequestFields } from "../model/request_fields.ts";

/** Several times the programs under way at a gateway of the largest size. */
const MAX_CONVERSATIONS = 4_096;

type Conversation = Pick<RequestFields, "programId" | "sessionId">;

/** The targets of the conversations at one gateway. */
export class ConversationTargets {
  readonly #byId = new BoundedMap<string, string>(MAX_CONVERSATIONS);

  /** Records a turn's target. */
  record({ programId, sessionId }: Conversation, targetId: string): void {
    if (programId !== undefined) this.#byId.set(programId, targetId);
    if (sessionId === undefined) return;
    this.#byId.set(buildKey(programId, sessionId), targetId);
  }

  /** Finds the target of the turn before; undefined if it isn't known. */
  find({ programId, sessionId }: Conversation): string | undefined {
    const line = sessionId === undefined
      ? undefined
      : this.#byId.get(buildKey(programId, sessionId));
    return line ??
      (programId === undefined ? undefined : this.#byId.get(programId));
  }
}

function buildKey(programId: string | undefined, sessionId: string): string {
  return `${programId ?? ""}|${sessionId}`;
}
