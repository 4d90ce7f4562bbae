/**
 * Learns what requests cost from the attempts of this gateway.
 */
import type { RunningWork } from "../decisions/held_work.ts";
import type { TrackedTarget } from "../decisions/target_table.ts";
import {
  computeNetworkMs,
  type Location,
  type WorkInputs,
} from "./compute_estimate.ts";
import type { PlacedRequest, WorkInputBuilder } from "./work_inputs.ts";

/** Errors from here on say that the target failed. */
const SERVER_ERROR = 500;
/** Share of a call's time that counts as its work, whatever wait was expected. */
const MIN_WORK_SHARE = 0.3;

/** With a longer expected wait, the time of a read can't be told from it. */
const MAX_READ_WAIT_MS = 10;

/** How an attempt ended, as far as it says something about the target. */
export interface AttemptEnd {
  readonly kind: string;
  readonly status?: number;
}

/** Learns from attempts that have ended. */
export class AttemptLearner {
  readonly #inputs: WorkInputBuilder;
  readonly #location: Location;

  constructor(inputs: WorkInputBuilder, location: Location) {
    this.#inputs = inputs;
    this.#location = location;
  }

  /** Learns from an attempt that ended by itself. */
  recordEnd(
    request: PlacedRequest,
    attempt: {
      readonly entry: TrackedTarget;
      readonly running: RunningWork;
      readonly end: AttemptEnd;
    },
    nowMs: number,
  ): void {
    const { service, id: targetId } = attempt.entry.target;
    const { model } = this.#inputs;
    const { kind, status = 0 } = attempt.end;
    if (kind === "not_run") return;
    if (
      kind !== "completed" && kind !== "answered" || status >= SERVER_ERROR
    ) return model.recordFailure(service, targetId, nowMs);
    const inputs = this.#inputs.build(request, service);
    if (inputs.isStream) {
      if (kind === "completed") this.#applyStream(request, attempt, nowMs);
    } else this.#applyCall(inputs, attempt, nowMs);
  }

  /** Records that a caller gave up on a target that had been late. */
  recordSilence(
    { target }: TrackedTarget,
    { work, startedAtMs, lastEventAtMs }: RunningWork,
    nowMs: number,
  ): void {
    const silentMs = nowMs - (lastEventAtMs ?? startedAtMs);
    if (silentMs < 2 * Math.max(work.firstMs, work.lateMs)) return;
    this.#inputs.model.recordFailure(target.service, target.id, nowMs);
  }

  #applyStream(
    request: PlacedRequest,
    { entry, running }: { entry: TrackedTarget; running: RunningWork },
    nowMs: number,
  ): void {
    const { service, id: targetId, failureDomain } = entry.target;
    const { work, startedAtMs, firstEventAtMs, lastEventAtMs, events } =
      running;
    const { model } = this.#inputs;
    const tokensPerEvent = this.#inputs.countEventTokens(service);
    if (firstEventAtMs === undefined || lastEventAtMs === undefined) return;
    if (events > 1) {
      const tokens = (events - 1) * tokensPerEvent;
      const takenMs = lastEventAtMs - firstEventAtMs;
      model.recordGeneration({ service, targetId }, { tokens, takenMs }, nowMs);
    }
    if (request.fields.resumeAfter > 0) return;
    const inputs = this.#inputs.build(request, service);
    model.recordLength(inputs.key, {
      ...request.fields,
      tokens: events * tokensPerEvent,
    });
    if (work.waitMs <= MAX_READ_WAIT_MS) {
      const firstMs = model.computeGenerationMs(service, tokensPerEvent) /
        model.computeSpeed(targetId, nowMs);
      const takenMs = firstEventAtMs - startedAtMs - firstMs - work.waitMs -
        computeNetworkMs(failureDomain, this.#location);
      const tokens = work.uncachedTokens;
      model.recordRead({ service, targetId }, { tokens, takenMs }, nowMs);
    }
    const workMs = model.computeReadMs(service, work.uncachedTokens) +
      model.computeGenerationMs(service, events * tokensPerEvent);
    model.recordWork(service, workMs, nowMs);
  }

  #applyCall(
    { key }: WorkInputs,
    { entry, running }: { entry: TrackedTarget; running: RunningWork },
    nowMs: number,
  ): void {
    const { service, id: targetId, failureDomain } = entry.target;
    const durationMs = nowMs - running.startedAtMs -
      computeNetworkMs(failureDomain, this.#location);
    const takenMs = Math.max(
      durationMs - running.work.waitMs,
      durationMs * MIN_WORK_SHARE,
      1,
    );
    const { model } = this.#inputs;
    model.recordCall({ ...key, targetId }, takenMs, nowMs);
    model.recordWork(service, takenMs, nowMs);
  }
}
