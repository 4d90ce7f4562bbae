/**
 * The software version that began a stream. What two versions write doesn't fit
 * together, so that a stream goes on at the same one only.
 */
import type { Target } from "./target.ts";

/** A version of a service's targets. */
export interface StreamVersion {
  readonly service: string;
  readonly version: string;
}

/** Finds the version of a target; undefined if its entry doesn't state one. */
export function findVersion(
  { service, version }: Target,
): StreamVersion | undefined {
  return version === undefined ? undefined : { service, version };
}

/** Whether a target may go on with a stream that a version began. */
export function canContinue(begun: StreamVersion, target: Target): boolean {
  return target.service === begun.service && target.version === begun.version;
}
