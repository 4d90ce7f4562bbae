/**
 * The limits that targets name in their responses: how many requests a second a
 * target takes from all gateways together. The latest response counts.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { GatewayLog } from "../log.ts";
import type { DecodedResponse } from "../ports.ts";

/** The limit of one target, as this gateway last saw it. */
export interface NamedLimit {
  readonly requestsPerSecond: number;
  /** When the target last named it, by the steady clock. */
  readonly namedAtMs: number;
}

/** The limits of all targets that name one. */
export class NamedLimits {
  readonly #byTarget = new Map<string, NamedLimit>();
  readonly #log: GatewayLog;

  constructor(log: GatewayLog) {
    this.#log = log;
  }

  /** Finds a target's limit; undefined if it names none. */
  find(targetId: string): NamedLimit | undefined {
    return this.#byTarget.get(targetId);
  }

  /** Records what a response says. */
  record(targetId: string, response: DecodedResponse, nowMs: number): void {
    const { requestsPerSecond, hasSignature } = response;
    if (requestsPerSecond !== undefined) {
      this.#logChange(targetId, requestsPerSecond);
      this.#byTarget.set(targetId, { requestsPerSecond, namedAtMs: nowMs });
    } else if (hasSignature) {
      // A refusal or an error without a limit doesn't end it.
      this.remove(targetId);
    }
  }

  /** Forgets the limit of a target that names none any more, or is gone. */
  remove(targetId: string): void {
    this.#logChange(targetId, undefined);
    this.#byTarget.delete(targetId);
  }

  #logChange(targetId: string, requestsPerSecond: number | undefined): void {
    const before = this.#byTarget.get(targetId)?.requestsPerSecond;
    if (before === requestsPerSecond) return;
    this.#log.write(EVENTS.TargetLimitChanged, {
      target: targetId,
      requests_per_s: requestsPerSecond,
      before,
    } as never);
  }
}
