/**
 * Decides whether the version that a target's entry states can be relied on:
 * when a stream begins there, goes on, is taken up, or is recorded.
 *
 * An entry is late after a restart of the target, and this gateway's view of all
 * entries may be old. So a stream goes on only at a target that states the start
 * that its entry names. One that can't be asked is relied on while the view is
 * recent and no gateway has seen its process end.
 */
import { runBufferedExchange } from "@camphorlock/http/exchange";
import { EVENTS } from "@camphorlock/codes/events";
import type { EndedTargets } from "../decisions/ended_targets.ts";
import { getIncarnation } from "../decisions/target_table.ts";
import type { TargetConnections } from "../exchange/target_connections.ts";
import type { GatewayLog } from "../log.ts";
import { BoundedMap } from "../model/bounded_map.ts";
import type { Target } from "../model/target.ts";
import type { RequestCodec } from "../ports.ts";

/** Two round trips between regions, and a busy target. */
const TIMEOUT_MS = 150;
const MAX_BYTES = 262_144;
/** A process that ends isn't back within this time. */
const RESULT_LIFETIME_MS = 1_000;
const MAX_RESULTS = 1_024;
/** A view that is older than a renewal should have been isn't relied on. */
const VIEW_AGE_FACTOR = 1.5;
const STATUS_OK = 200;

/** What a target says of its start. */
type Identity = "same" | "other" | "unknown";

/** Dependencies of the verifier. */
export interface TargetVerifierDependencies {
  readonly connections: Pick<TargetConnections, "get">;
  readonly codec: Pick<RequestCodec, "identityPath" | "decodeIdentity">;
  readonly ended: EndedTargets;
  readonly log: GatewayLog;
  /** Age of the cached target states. */
  readonly getViewAgeMs: () => number;
  /** Age at which the states are read again. */
  readonly renewalMs: number;
}

/** Verifies the entries of targets. */
export class TargetVerifier {
  readonly #dependencies: TargetVerifierDependencies;
  readonly #results = new BoundedMap<
    string,
    { readonly atMs: number; readonly identity: Promise<Identity> }
  >(MAX_RESULTS);

  constructor(dependencies: TargetVerifierDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether the entry can be relied on without asking the target. */
  isTrusted(target: Target): boolean {
    const { ended, getViewAgeMs, renewalMs } = this.#dependencies;
    return !ended.has(target) && getViewAgeMs() <= renewalMs * VIEW_AGE_FACTOR;
  }

  /** Whether the target is the one of its entry. Never rejects. */
  async confirm(target: Target): Promise<boolean> {
    const { ended, log, getViewAgeMs } = this.#dependencies;
    const identity = await this.#findIdentity(target);
    const isTrusted = this.isTrusted(target);
    if (identity === "same") ended.remove(target);
    if (identity === "other") ended.record(getIncarnation(target));
    const isConfirmed = identity === "same" ||
      (identity === "unknown" && isTrusted);
    if (!isConfirmed) {
      log.write(EVENTS.TargetDoubted, {
        target: target.id,
        version: target.version,
        identity,
        has_ended: ended.has(target),
        view_age_ms: Math.round(getViewAgeMs()),
      });
    }
    return isConfirmed;
  }

  /** Asks the target, once for all streams that want to know. */
  #findIdentity(target: Target): Promise<Identity> {
    const key = getIncarnation(target);
    const nowMs = performance.now();
    const known = this.#results.get(key);
    if (known !== undefined && nowMs - known.atMs < RESULT_LIFETIME_MS) {
      return known.identity;
    }
    const identity = this.#callTarget(target);
    this.#results.set(key, { atMs: nowMs, identity });
    return identity;
  }

  async #callTarget(target: Target): Promise<Identity> {
    const { connections, codec } = this.#dependencies;
    const response = await runBufferedExchange(connections.get(target), {
      method: "GET",
      path: codec.identityPath,
      headers: { host: target.host },
      silenceTimeoutMs: TIMEOUT_MS,
      freshConnection: false,
    }, { totalTimeoutMs: TIMEOUT_MS, maxBytes: MAX_BYTES });
    if (response.kind !== "answered" || response.status !== STATUS_OK) {
      return "unknown";
    }
    const startedAtMs = codec.decodeIdentity(response.body);
    if (startedAtMs === undefined) return "unknown";
    return startedAtMs === target.startedAtMs ? "same" : "other";
  }
}
