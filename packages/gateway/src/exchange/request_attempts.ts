/**
 * The attempts of one request: the targets that it was sent to, those that may
 * have run it, and the caller's progress in a stream.
 */
import { UsedConnections } from "@camphorlock/http/exchange";
import type { AttemptHistory, FailedAttempt } from "../decisions/next_step.ts";
import {
  recordFailure,
  recordFull,
  type TargetTable,
  type TrackedTarget,
} from "../decisions/target_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { RecordedChoice } from "../placement/placement.ts";
import type { StreamVersion } from "../model/stream_version.ts";
import { StreamStart } from "../streams/stream_start.ts";
import type { AcceptedRequest } from "./request_end.ts";
import type { StreamProgress } from "./stream_attempt.ts";

/** Limits on further attempts of a request. */
export interface RetryLimits {
  readonly isRepeatable: boolean;
  readonly maxTargets: number;
  readonly leftMs: number;
}

/** The attempts of one request. */
export class RequestAttempts {
  /** Ids of the targets, in the order of the attempts. */
  readonly targetIds: string[] = [];
  /** The software versions of these targets. */
  readonly versions: (string | undefined)[] = [];
  /** Targets that rejected the request or were unreachable since the pause. */
  readonly excluded = new Set<string>();
  readonly connections = new UsedConnections();
  readonly progress: StreamProgress;
  /** The latest choice of a target. */
  choice: RecordedChoice | undefined;
  /** Number of targets that have ended while they ran the request. */
  #crashes = 0;
  /** Stays true when the targets that may have run it have ended since. */
  #mayHaveRun = false;
  /** Targets that may have run the request, and may still. */
  readonly #possibleRunners = new Set<string>();

  /** Where the request's stream began, and so may go on. */
  readonly start: StreamStart;

  constructor(resumeAfter: number, begun?: StreamVersion) {
    this.start = new StreamStart(begun);
    this.progress = {
      lastEventId: resumeAfter,
      events: 0,
      firstEventMs: undefined,
    };
  }

  /** Whether a target may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun || this.progress.events > 0;
  }

  /** Whether a target has ended while it ran the request. */
  get isCrashCandidate(): boolean {
    return this.#crashes > 0;
  }

  isPossibleRunner(targetId: string): boolean {
    return this.#possibleRunners.has(targetId);
  }

  /** Records the start of an attempt, and counts what the platform limits. */
  recordStart(
    entry: TrackedTarget,
    { route, fields }: Pick<AcceptedRequest, "route" | "fields">,
    metrics: GatewayMetrics,
  ): void {
    const { id } = entry.target;
    const others = [...this.#possibleRunners].filter((each) => each !== id);
    if (others.length >= route.maxTargets) {
      metrics.add("sends_beyond_target_limit");
    }
    if (fields.deadlineMs === undefined) metrics.add("sends_without_deadline");
    metrics.add("sends");
    this.targetIds.push(id);
    this.versions.push(entry.target.version);
    entry.prefixes.record(fields.prompt);
  }

  /** Records an attempt that ended without a complete response. */
  recordFailedAttempt(entry: TrackedTarget, failed: FailedAttempt): void {
    const { id } = entry.target;
    const nowMs = performance.now();
    switch (failed.kind) {
      case "not_run":
        recordFull(entry, nowMs);
        this.excluded.add(id);
        break;
      case "unreachable":
        recordFailure(entry, nowMs);
        this.excluded.add(id);
        // A target that accepts no connection no longer runs anything.
        this.#possibleRunners.delete(id);
        break;
      case "broken":
        recordFailure(entry, nowMs);
        this.#mayHaveRun = true;
        this.#possibleRunners.add(id);
        break;
      case "crashed":
        recordFailure(entry, nowMs);
        this.#mayHaveRun = true;
        this.excluded.add(id);
        this.#crashes += 1;
        break;
    }
  }

  /** Builds the input to the decision on the next attempt. */
  buildHistory(targets: TargetTable, limits: RetryLimits): AttemptHistory {
    const nowMs = performance.now();
    const live = [...this.#possibleRunners].filter((id) =>
      targets.isReady(id, nowMs)
    );
    return {
      ...limits,
      sends: this.targetIds.length,
      liveRunners: live.length,
      crashes: this.#crashes,
      mayHaveRun: this.mayHaveRun,
    };
  }
}
