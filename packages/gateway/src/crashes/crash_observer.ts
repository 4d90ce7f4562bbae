/**
 * Observes which targets end while requests run there. A broken connection
 * alone isn't the end of a target: connections are reset, cut and spoiled, and
 * a target that leaves closes them as planned. So a target that breaks off a
 * request is probed, and counts as ended if it refuses a new connection.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { getIncarnation } from "../decisions/target_table.ts";
import type { GatewayLog } from "../log.ts";
import type { Fingerprint } from "../model/request_fingerprint.ts";
import type { Target } from "../model/target.ts";
import { RunningRequests } from "./running_requests.ts";
import {
  TargetProber,
  type TargetProberDependencies,
} from "./target_prober.ts";

/** Ended incarnations that are remembered, so that each is logged once. */
const MAX_ENDED = 1_000;

/** The end of one incarnation of a target. */
export interface TargetEnd {
  readonly target: Target;
  /** What ran there, as far as this gateway knows. */
  readonly requests: readonly Fingerprint[];
}

/** Dependencies of the observer. */
export interface CrashObserverDependencies extends TargetProberDependencies {
  readonly log: GatewayLog;
  /** Whether a target is known to leave as planned. */
  readonly isLeaving: (target: Target) => boolean;
  /** Called when an incarnation has ended with requests of this gateway. */
  readonly onEnd: (end: TargetEnd) => void;
}

/** Observes the ends of targets. */
export class CrashObserver {
  readonly #dependencies: CrashObserverDependencies;
  readonly #requests = new RunningRequests();
  readonly #prober: TargetProber;
  readonly #ended = new Set<string>();

  constructor(dependencies: CrashObserverDependencies) {
    this.#dependencies = dependencies;
    this.#prober = new TargetProber(dependencies);
  }

  /** Records that a request was sent to a target. */
  recordStart(
    target: Target,
    requestId: string,
    fingerprint: Fingerprint,
  ): void {
    this.#requests.add(target, requestId, fingerprint);
  }

  /** Records that a request ended with a response, or was given up here. */
  recordEnd(target: Target, requestId: string): void {
    const nowMs = performance.now();
    this.#requests.remove(target, requestId, { isBroken: false, nowMs });
  }

  /**
   * Records that a target broke off a request, and finds out whether it has
   * ended. Never rejects.
   */
  async recordBreak(target: Target, requestId: string): Promise<boolean> {
    const nowMs = performance.now();
    this.#requests.remove(target, requestId, { isBroken: true, nowMs });
    if (this.#dependencies.isLeaving(target)) return false;
    if (await this.#prober.probe(target) !== "refuses") return false;
    this.#recordTargetEnd(target);
    return true;
  }

  removeExpired(nowMs: number): void {
    this.#requests.removeExpired(nowMs);
  }

  #recordTargetEnd(target: Target): void {
    const incarnation = getIncarnation(target);
    if (this.#ended.has(incarnation)) return;
    this.#ended.add(incarnation);
    const [oldest] = this.#ended;
    if (this.#ended.size > MAX_ENDED && oldest !== undefined) {
      this.#ended.delete(oldest);
    }
    const requests = this.#requests.listAtEnd(target, performance.now());
    this.#dependencies.log.write(EVENTS.TargetEnded, {
      target: target.id,
      service: target.service,
      address: `${target.host}:${target.port}`,
      fingerprints: requests.map(({ request }) => request),
    });
    this.#dependencies.onEnd({ target, requests });
  }
}
