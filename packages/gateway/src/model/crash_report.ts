/**
 * What gateways tell each other about requests that crash targets.
 */
import type { Fingerprint } from "./request_fingerprint.ts";

/** The end of one incarnation of a target, as one gateway saw it. */
export interface CrashReport {
  readonly service: string;
  readonly incarnation: string;
  /** Where the target listened; a VM that keeps failing isn't the requests. */
  readonly address: string;
  /** What the gateway had running there. */
  readonly requests: readonly Fingerprint[];
  /** Time since the end. */
  readonly ageMs: number;
}

/** A request, or all about one resource, that targets aren't sent any more. */
export interface BlockedRequest {
  /** Of the request or of the resource. */
  readonly fingerprint: string;
  readonly service: string;
  /** Targets that ended while they ran it. */
  readonly crashes: number;
  /** Time until it's let in again; 0 lets it in now. */
  readonly leftMs: number;
  /** Time since the first of those ends. */
  readonly firstCrashAgeMs: number;
  /** If present, only targets at this address aren't sent the request. */
  readonly avoidedAddress?: string;
}
