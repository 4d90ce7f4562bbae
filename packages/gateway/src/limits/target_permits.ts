/**
 * Acquires permits for requests to targets that have named a limit, and answers
 * the other gateways' requests for them.
 *
 * The permit home of a target is the gateway of the target's region that ranks
 * first for it.
 */
import { checkNever } from "@camphorlock/types";
import type { PermitDecision } from "../decisions/permit_bucket.ts";
import type { PeerDirectory } from "../decisions/peer_directory.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { Target } from "../model/target.ts";
import { HomeCalls } from "../peers/home_calls.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import type { PermitCall } from "../peers/peer_messages.ts";
import type { DecodedResponse } from "../ports.ts";
import { NamedLimits } from "./named_limits.ts";
import { PermitHome } from "./permit_home.ts";

/** Pause after a call for a permit without a decision. */
const NO_DECISION_RETRY_MS = 100;
const NO_DECISION: PermitDecision = {
  kind: "denied",
  retryMs: NO_DECISION_RETRY_MS,
};

type TargetKey = Pick<Target, "id" | "failureDomain">;

/** The dependencies of the permits. */
export interface TargetPermitsDependencies {
  readonly log: GatewayLog;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly metrics: GatewayMetrics;
  readonly vmId: string;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;
}

/** The permits of one gateway. */
export class TargetPermits {
  readonly #dependencies: TargetPermitsDependencies;
  readonly #limits: NamedLimits;
  readonly #home = new PermitHome();
  readonly #calls: HomeCalls<PermitCall, PermitDecision>;
  /** Until when no permit is requested for a target. */
  readonly #pausedUntilMs = new Map<string, number>();

  constructor(dependencies: TargetPermitsDependencies) {
    this.#dependencies = dependencies;
    this.#limits = new NamedLimits(dependencies.log);
    const { directory, regions } = dependencies;
    this.#calls = new HomeCalls({
      ...dependencies,
      attempts: 1,
      chooseHome: ({ targetId, failureDomain }) =>
        directory.chooseHomeIn(regions.get(failureDomain), targetId),
      decide: (call, gatewayId) =>
        this.#home.take({ ...call, gatewayId }, performance.now()),
      findDecision: ({ permit }) => permit,
    });
  }

  /** Whether a target's limit leaves nothing for this gateway at present. */
  isPaused(targetId: string, nowMs: number): boolean {
    return (this.#pausedUntilMs.get(targetId) ?? 0) > nowMs;
  }

  /** Acquires a permit; true at once for a target that names no limit. */
  async acquire(target: TargetKey): Promise<boolean> {
    const { metrics } = this.#dependencies;
    const limit = this.#limits.find(target.id);
    if (limit === undefined) return true;
    const decision = await this.#callHome({
      kind: "take_permit",
      targetId: target.id,
      failureDomain: target.failureDomain,
      observed: {
        requestsPerSecond: limit.requestsPerSecond,
        ageMs: performance.now() - limit.namedAtMs,
      },
      isForwarded: false,
    });
    switch (decision.kind) {
      case "granted":
        metrics.add("sends_to_limited_targets");
        return true;
      case "denied": {
        metrics.add("permits_denied");
        const retryMs = decision.retryMs * (0.5 + Math.random());
        this.#pausedUntilMs.set(target.id, performance.now() + retryMs);
        return false;
      }
      case "unlimited":
        this.remove(target.id);
        return true;
      default:
        return checkNever(decision);
    }
  }

  /** Records a target's response, and tells the home when a limit has ended. */
  recordResponse(target: TargetKey, response: DecodedResponse): void {
    const wasLimited = this.#limits.find(target.id) !== undefined;
    this.#limits.record(target.id, response, performance.now());
    if (!wasLimited || this.#limits.find(target.id) !== undefined) return;
    this.#pausedUntilMs.delete(target.id);
    // A call without a limit takes no permit; the home records that it ended.
    void this.#callHome({
      kind: "take_permit",
      targetId: target.id,
      failureDomain: target.failureDomain,
      observed: { requestsPerSecond: undefined, ageMs: 0 },
      isForwarded: false,
    });
  }

  /** Answers a call of another gateway, or of this one as the home. */
  async answer(call: PermitCall, gatewayId: string): Promise<PermitDecision> {
    return await this.#calls.answer(call, gatewayId) ?? NO_DECISION;
  }

  /** Forgets the limit of a target that is gone or names none any more. */
  remove(targetId: string): void {
    this.#limits.remove(targetId);
    this.#pausedUntilMs.delete(targetId);
  }

  removeUnused(nowMs: number): void {
    this.#home.removeUnused(nowMs);
  }

  async #callHome(call: PermitCall): Promise<PermitDecision> {
    return await this.#calls.call(call) ?? NO_DECISION;
  }
}
