/**
 * The watch on the platform's revisions, which a few nodes of each region run.
 */
import type { Effect, PlatformResponse } from "@camphorlock/types";
import type { PlatformCalls } from "./platform_calls.ts";
import { REVISION_PREFIX } from "./record.ts";

const WATCH_RETRY_MS = 1_000;

type WatchState =
  | { readonly kind: "none" }
  | { readonly kind: "waiting" }
  | { readonly kind: "paused"; readonly untilMs: number };

/** The watch of this node on the revisions, while it's a watcher. */
export class RevisionWatch {
  readonly #calls: PlatformCalls;
  #state: WatchState = { kind: "none" };
  #position = 0;
  #isEnabled = true;

  constructor(calls: PlatformCalls) {
    this.#calls = calls;
  }

  /** Sets whether to watch. Disabling doesn't cancel a watch in flight. */
  setEnabled(isEnabled: boolean): void {
    this.#isEnabled = isEnabled;
  }

  /** Starts a watch if enabled, unless one is in flight or paused. */
  start(nowMs: number): readonly Effect[] {
    if (!this.#isEnabled || this.#state.kind === "waiting") return [];
    if (this.#state.kind === "paused" && this.#state.untilMs > nowMs) return [];
    this.#state = { kind: "waiting" };
    const request = {
      kind: "watch",
      prefix: REVISION_PREFIX,
      afterPosition: this.#position,
    } as const;
    return [this.#calls.send(request, { purpose: "watch", nowMs })];
  }

  /** Handles a response. Returns whether any revision changed. */
  handleResponse(response: PlatformResponse, nowMs: number): boolean {
    const hasChanged = response.kind === "changed" &&
      (response.keys.length > 0 || response.position > this.#position);
    this.#state = hasChanged
      ? { kind: "none" }
      : { kind: "paused", untilMs: nowMs + WATCH_RETRY_MS };
    if (response.kind === "changed") this.#position = response.position;
    return hasChanged;
  }
}
