/**
 * Negotiates the protocol version between two releases.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure, type Failure } from "@camphorlock/codes";

/** The versions that one release supports, both ends included. */
export interface VersionRange {
  readonly lowestVersion: number;
  readonly highestVersion: number;
}

/** Chooses the highest version that both releases support. */
export function chooseVersion(
  own: VersionRange,
  other: VersionRange,
): Result<number, Failure> {
  const highest = Math.min(own.highestVersion, other.highestVersion);
  const lowest = Math.max(own.lowestVersion, other.lowestVersion);
  if (highest >= lowest) return ok(highest);
  const detail =
    `this node supports ${own.lowestVersion} to ${own.highestVersion}, ` +
    `the other ${other.lowestVersion} to ${other.highestVersion}`;
  return err(createFailure("PeerVersionMismatch", detail));
}
