/**
 * The protocol version that two releases use between them.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure, type Failure } from "@camphorlock/codes";

/** The versions that one release speaks, both ends included. */
export interface VersionRange {
  readonly lowestVersion: number;
  readonly highestVersion: number;
}

/** Chooses the highest version that both speak. */
export function chooseVersion(
  own: VersionRange,
  other: VersionRange,
): Result<number, Failure> {
  const highest = Math.min(own.highestVersion, other.highestVersion);
  const lowest = Math.max(own.lowestVersion, other.lowestVersion);
  if (highest >= lowest) return ok(highest);
  const detail = `own ${own.lowestVersion} to ${own.highestVersion}, ` +
    `other ${other.lowestVersion} to ${other.highestVersion}`;
  return err(createFailure("PeerVersionMismatch", detail));
}
