/**
 * The watch that a few nodes of each region keep on the platform.
 */
import type { Effect, PlatformAnswer } from "@camphorlock/types";
import type { PlatformCalls } from "./platform_calls.ts";
import { REVISION_PREFIX } from "./record.ts";

const WATCH_RETRY_MS = 1_000;

type WatchState =
  | { readonly kind: "none" }
  | { readonly kind: "waiting" }
  | { readonly kind: "paused"; readonly untilMs: number };

/** This node's watch on the revisions, while it's one of the watchers. */
export class RevisionWatch {
  readonly #calls: PlatformCalls;
  #state: WatchState = { kind: "none" };
  #position = 0;
  #isWanted = true;

  constructor(calls: PlatformCalls) {
    this.#calls = calls;
  }

  /** Sets whether this node watches; a waiting watch isn't renewed then. */
  setWanted(isWanted: boolean): void {
    this.#isWanted = isWanted;
  }

  /** Starts the watch if it's wanted and none waits. */
  start(nowMs: number): readonly Effect[] {
    if (!this.#isWanted || this.#state.kind === "waiting") return [];
    if (this.#state.kind === "paused" && this.#state.untilMs > nowMs) return [];
    this.#state = { kind: "waiting" };
    const request = {
      kind: "watch",
      prefix: REVISION_PREFIX,
      afterPosition: this.#position,
    } as const;
    return [this.#calls.send(request, { purpose: "watch", nowMs })];
  }

  /** Takes an answer, and tells whether something changed. */
  handleAnswer(answer: PlatformAnswer, nowMs: number): boolean {
    const hasChanged = answer.kind === "changed" &&
      (answer.keys.length > 0 || answer.position > this.#position);
    this.#state = hasChanged
      ? { kind: "none" }
      : { kind: "paused", untilMs: nowMs + WATCH_RETRY_MS };
    if (answer.kind === "changed") this.#position = answer.position;
    return hasChanged;
  }
}
