/**
 * A request in the queue of its service, and what the queue decides on it.
 */
import type { PlacementChoice } from "../placement/work_estimate.ts";
import type { OrderedRequest } from "./class_order.ts";

/**
 * The best target now. It's undefined if no target can take the request now,
 * and `recheck` if the request has to be looked at again by its owner.
 */
export type TargetSearch = PlacementChoice | "recheck" | undefined;

/** A request that asks for its turn. */
export interface QueuedRequest extends OrderedRequest {
  readonly targetLatencyMs: number;
  /** Number of classes of the service. */
  readonly classes: number;
  /** Whether the configuration asks for an order. */
  readonly isOrdered: boolean;
  /** When it can no longer start and meet its objective. */
  readonly lateAtMs: number;
  /** When the request can no longer be answered. */
  readonly deadlineAtMs: number;
  /** When it has to go where nothing else is known of its work. */
  readonly latestStartMs: number;
  /** Whether it certainly hasn't run. */
  canBeRefused(): boolean;
  /** Whether only some of the service's targets may take it. */
  isConstrained(): boolean;
  /** Chooses among all targets, also those that rejected it before. */
  findTarget(): TargetSearch;
}

/** What a decision was made by, for the log. */
export interface QueueView {
  /**
   * The class, as far as the request has moved up; the number of classes is
   * added for one that is late.
   */
  readonly rank: number;
  readonly classes: number;
  /** Requests of the class that are expected to go before it. */
  readonly position: number;
  readonly waiting: number;
  /** Expected wait at the best target; undefined if there's none. */
  readonly targetWaitMs: number | undefined;
  /** The wait there that the class may use. */
  readonly maxBacklogMs: number;
  /** Expected wait in the queue. */
  readonly queueWaitMs: number;
  readonly leftMs: number;
}

/** The queue's decision on a request. */
export type QueueDecision =
  /** It goes to this target now. */
  | {
    readonly kind: "go";
    readonly choice: PlacementChoice;
    readonly view: QueueView;
  }
  /** It isn't in the queue any more, and its owner decides. */
  | { readonly kind: "recheck" }
  /** It can't be served in its time, or others come first. */
  | {
    readonly kind: "refuse";
    readonly reason: "late" | "full";
    readonly retryAfterMs: number;
    readonly view: QueueView;
  }
  /** It has waited for as long as it may. */
  | { readonly kind: "expired"; readonly view: QueueView };
