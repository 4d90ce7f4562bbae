/**
 * Identifies what a request asks for, whoever sends it and however often: a
 * digest of its method, host, path and body. Ids, deadlines and other headers
 * differ between the attempts at one piece of work, so they don't count.
 */
import { createHash } from "node:crypto";

/** Characters of a fingerprint; 132 bits, so that no two requests share one. */
const FINGERPRINT_LENGTH = 22;

/** The parts of a request that make up its fingerprint. */
export interface FingerprintParts {
  readonly method: string | undefined;
  readonly host: string | undefined;
  readonly url: string | undefined;
  readonly body: Uint8Array;
}

/** What identifies a request. */
export interface Fingerprint {
  /** Of all parts. */
  readonly request: string;
  /** Of all but the body: what the request is about. */
  readonly resource: string;
}

/** Computes the fingerprint of a request. */
export function computeFingerprint(
  { method = "", host = "", url = "", body }: FingerprintParts,
): Fingerprint {
  // No part contains a line break, so that the parts can't be shifted.
  const resource = `${method}\n${host.toLowerCase()}\n${url}\n`;
  return {
    request: computeDigest([resource, "body\n", body]),
    resource: computeDigest([resource]),
  };
}

function computeDigest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part);
  return hash.digest("base64url").slice(0, FINGERPRINT_LENGTH);
}
