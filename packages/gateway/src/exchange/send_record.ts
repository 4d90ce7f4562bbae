/**
 * What one request's sends have come to: the targets that it went to, those
 * that may have run it, and what the caller has of a stream.
 */
import type { FailedSend, SendHistory } from "../decisions/plan_next_send.ts";
import {
  type KnownTarget,
  recordFailure,
  recordFull,
  type TargetTable,
} from "../decisions/target_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { AcceptedRequest } from "./request_end.ts";
import type { StreamProgress } from "./stream_send.ts";

/** What the history of a request's sends depends on. */
export interface SendLimits {
  readonly isRepeatable: boolean;
  readonly maxTargets: number;
  readonly leftMs: number;
}

/** The sends of one request. */
export class SendRecord {
  /** Ids of the targets, in the order of the sends. */
  readonly sentTo: string[] = [];
  /** Targets that turned the request away lately. */
  readonly excluded = new Set<string>();
  readonly progress: StreamProgress;
  /** Targets that may have run the request. */
  readonly #runners = new Set<string>();

  constructor(resumeAfter: number) {
    this.progress = {
      lastEventId: resumeAfter,
      events: 0,
      firstEventMs: undefined,
    };
  }

  /** Whether a target may have run the request. */
  get mayHaveRun(): boolean {
    return this.#runners.size > 0 || this.progress.events > 0;
  }

  isRunner(targetId: string): boolean {
    return this.#runners.has(targetId);
  }

  /** Records a send that begins, and counts what the platform limits. */
  start(
    known: KnownTarget,
    { route, fields }: Pick<AcceptedRequest, "route" | "fields">,
    metrics: GatewayMetrics,
  ): void {
    const { id } = known.target;
    const others = [...this.#runners].filter((each) => each !== id);
    if (others.length >= route.maxTargets) {
      metrics.add("sends_beyond_target_limit");
    }
    if (fields.deadlineMs === undefined) metrics.add("sends_without_deadline");
    metrics.add("sends");
    this.sentTo.push(id);
    known.prefixes.record(fields.prompt);
  }

  /** Records a send that brought no whole answer. */
  add(known: KnownTarget, failed: FailedSend): void {
    const { id } = known.target;
    const nowMs = performance.now();
    switch (failed.kind) {
      case "not_run":
        recordFull(known, nowMs);
        this.excluded.add(id);
        break;
      case "unreachable":
        recordFailure(known, nowMs);
        this.excluded.add(id);
        // A target that takes no connection runs nothing any more.
        this.#runners.delete(id);
        break;
      case "broken":
        recordFailure(known, nowMs);
        this.#runners.add(id);
        break;
    }
  }

  /** Builds what the next step is decided from. */
  buildHistory(targets: TargetTable, limits: SendLimits): SendHistory {
    const nowMs = performance.now();
    const live = [...this.#runners].filter((id) => targets.isReady(id, nowMs));
    return {
      ...limits,
      sends: this.sentTo.length,
      liveRunners: live.length,
      mayHaveRun: this.mayHaveRun,
    };
  }
}
