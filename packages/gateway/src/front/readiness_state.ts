/**
 * Whether this gateway accepts new callers, and whether it closes the
 * connections of existing ones so that they reconnect to another gateway.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { OverloadDetector } from "../decisions/overload_detector.ts";
import type { GatewayLog } from "../log.ts";

/** The load balancer removes a node after two failed probes a second apart. */
export const BALANCER_REMOVAL_MS = 2_500;

/** Dependencies of the readiness state. */
export interface ReadinessDependencies {
  readonly log: GatewayLog;
  isStopping(): boolean;
  /** Whether the configuration, targets and other gateways were received. */
  hasInitialState(): boolean;
  /** Whether keys have to be checked, and nothing confirms them any more. */
  hasLostKeys(): boolean;
  countTargets(): number;
}

/** The readiness of one gateway. */
export class ReadinessState {
  readonly #dependencies: ReadinessDependencies;
  readonly #overload = new OverloadDetector();
  #lastTickAtMs = performance.now();
  #wasReady = false;

  constructor(dependencies: ReadinessDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether the gateway accepts new callers. */
  get isReady(): boolean {
    const { log, isStopping, hasInitialState, hasLostKeys, countTargets } =
      this.#dependencies;
    const isReady = !isStopping() && hasInitialState() && !hasLostKeys() &&
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

  /** Whether responses close their connections, to move callers elsewhere. */
  get isDrainingConnections(): boolean {
    const forMs = this.#overload.measureOverloadMs(performance.now());
    return this.#dependencies.isStopping() || forMs > BALANCER_REMOVAL_MS;
  }

  /** Records the delay of a tick that was due `intervalMs` after the last one. */
  recordTick(intervalMs: number): void {
    const nowMs = performance.now();
    const delayMs = nowMs - this.#lastTickAtMs - intervalMs;
    this.#lastTickAtMs = nowMs;
    // Delays during the start don't indicate overload.
    if (!this.#wasReady || !this.#overload.recordDelay(delayMs, nowMs)) return;
    this.#dependencies.log.write(EVENTS.OverloadChanged, {
      is_overloaded: this.#overload.isOverloaded,
      mean_delay_ms: Math.round(this.#overload.meanDelayMs),
    });
  }
}
