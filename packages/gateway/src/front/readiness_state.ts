/**
 * Whether this gateway takes new callers, and whether it asks those that it has
 * to come back through another one.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { Overload } from "../decisions/overload.ts";
import type { GatewayLog } from "../log.ts";

/** The balancer takes a node out after two questions a second apart. */
export const LEAVE_BALANCER_MS = 2_500;

/** What the state depends on. */
export interface ReadinessParts {
  readonly log: GatewayLog;
  isStopping(): boolean;
  /** Whether the configuration, targets and other gateways are known. */
  isInformed(): boolean;
  countTargets(): number;
}

/** The readiness of one gateway. */
export class ReadinessState {
  readonly #parts: ReadinessParts;
  readonly #overload = new Overload();
  #tickedAtMs = performance.now();
  #wasReady = false;

  constructor(parts: ReadinessParts) {
    this.#parts = parts;
  }

  /** Whether new callers are taken. */
  get isReady(): boolean {
    const { log, isStopping, isInformed, countTargets } = this.#parts;
    const isReady = !isStopping() && isInformed() &&
      !this.#overload.isOverloaded;
    if (isReady && !this.#wasReady) {
      this.#wasReady = true;
      log.write(EVENTS.GatewayReady, {
        targets: countTargets(),
        process_ms: Math.round(performance.now()),
      });
    }
    return isReady;
  }

  /** Whether answers close their connections, so that callers go elsewhere. */
  get isTurningAway(): boolean {
    const forMs = this.#overload.countForMs(performance.now());
    return this.#parts.isStopping() || forMs > LEAVE_BALANCER_MS;
  }

  /** Notes how late a tick is that was due `intervalMs` after the one before. */
  recordTick(intervalMs: number): void {
    const nowMs = performance.now();
    const delayMs = nowMs - this.#tickedAtMs - intervalMs;
    this.#tickedAtMs = nowMs;
    // The work of a start says nothing about what comes after it.
    if (!this.#wasReady || !this.#overload.record(delayMs, nowMs)) return;
    this.#parts.log.write(EVENTS.OverloadChanged, {
      is_overloaded: this.#overload.isOverloaded,
      mean_delay_ms: Math.round(this.#overload.meanDelayMs),
    });
  }
}
