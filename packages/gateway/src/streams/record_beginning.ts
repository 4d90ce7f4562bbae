/**
 * Records which version began a stream, once its target's entry can be relied
 * on: a version that is recorded wrongly joins two at another gateway.
 */
import type { Target } from "../model/target.ts";
import type { StreamStart } from "./stream_start.ts";
import type { BegunAttempt, StreamVersions } from "./stream_versions.ts";
import type { TargetVerifier } from "./target_verifier.ts";

/** The first event of a stream. */
export interface FirstEvent {
  readonly start: StreamStart;
  /** The target that sent it. */
  readonly target: Target;
}

/** Records an event's target if the stream begins with it. */
export function recordBeginning(
  { verifier, versions }: {
    readonly verifier: TargetVerifier;
    readonly versions: StreamVersions;
  },
  attempt: BegunAttempt,
  { start, target }: FirstEvent,
): void {
  if (start.hasBegun) return;
  start.recordFirstEvent(target);
  const recordVersion = () => {
    const begun = start.recordVersion();
    if (begun !== undefined) versions.record(attempt, begun);
  };
  if (verifier.isTrusted(target)) return recordVersion();
  void verifier.confirm(target).then((isConfirmed) => {
    if (isConfirmed) recordVersion();
  });
}
