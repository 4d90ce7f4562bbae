/**
 * The history of conversations: puts a turn's chain together before the turn is
 * sent to a target, and keeps the turn before its response ends.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { ResultCodeName } from "@camphorlock/codes/result_codes";
import {
  buildTargetBody,
  canContinueChain,
  type KeptTurn,
  type TurnChain,
  type TurnClient,
} from "@camphorlock/turns";
import type { AcceptedRequest } from "../exchange/request_end.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import { ChainCache } from "./chain_cache.ts";
import { isReservedTurn } from "./reserved_turns.ts";
import { OpenTurn } from "./open_turn.ts";

/** Share of the request's time limit within which its chain is loaded. */
const LOAD_SHARE = 0.3;
/** Longest chain with its new input; several at once fit in a VM's memory. */
const MAX_CHAIN_BYTES = 4 * 1_024 * 1_024;

/** Why a turn isn't run; no target has it, and none will. */
export interface HistoryRefusal {
  readonly kind: "refused";
  readonly code: ResultCodeName;
  readonly detail: string;
}

/** The start of a turn. */
export type HistoryOpening =
  | { readonly kind: "opened"; readonly turn: OpenTurn }
  | HistoryRefusal;

type ChainResult =
  | { readonly kind: "loaded"; readonly chain: TurnChain }
  | HistoryRefusal;

/** Dependencies of the history. */
export interface TurnHistoryDependencies {
  readonly client: Pick<TurnClient, "canSave" | "load" | "save">;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
}

/** The history that one gateway serves. */
export class TurnHistory {
  readonly #dependencies: TurnHistoryDependencies;
  readonly #cache = new ChainCache();

  constructor(dependencies: TurnHistoryDependencies) {
    this.#dependencies = dependencies;
  }

  /** Opens a turn of a route that keeps its turns. */
  async open(accepted: AcceptedRequest): Promise<HistoryOpening> {
    const { fields, body, maxBodyBytes } = accepted;
    if (fields.resumeAfter > 0) {
      return refuse("HistoryUnavailable", "the events so far aren't kept here");
    }
    if (!this.#dependencies.client.canSave) {
      return refuse("HistoryUnavailable", "too few disks are registered");
    }
    const { previousTurnId, requestId } = fields;
    if (isReservedTurn(previousTurnId)) return refuseUnknown(previousTurnId);
    if (isReservedTurn(requestId)) {
      return refuse("HeaderInvalid", `the id ${requestId} is reserved`);
    }
    const loaded: ChainResult = previousTurnId === undefined
      ? { kind: "loaded", chain: [] }
      : await this.#loadChain(previousTurnId, accepted);
    if (loaded.kind === "refused") return loaded;
    const { chain } = loaded;
    if (!canContinueChain(chain, accepted.tenant?.name)) {
      this.#dependencies.metrics.add("chains_denied");
      // The same answer as for a turn that doesn't exist.
      return refuseUnknown(previousTurnId);
    }
    const targetBody = buildTargetBody(chain, body);
    const maxBytes = Math.min(MAX_CHAIN_BYTES, maxBodyBytes);
    if (targetBody.length > maxBytes) {
      const detail =
        `the chain has ${targetBody.length} bytes, the limit is ${maxBytes}`;
      return refuse("BodyTooLarge", detail);
    }
    // A few bytes may ask for a chain of megabytes.
    if (!accepted.caller.share.reserve(targetBody.length)) {
      const detail = "other requests hold the memory for chains; try again";
      return refuse("GatewayMemoryFull", detail);
    }
    const keep = (turn: KeptTurn, deadlineMs: number) =>
      this.#save([...chain, turn], { accepted, deadlineMs });
    return {
      kind: "opened",
      turn: new OpenTurn(accepted, { chain, targetBody, keep }),
    };
  }

  async #loadChain(
    turnId: string,
    accepted: AcceptedRequest,
  ): Promise<ChainResult> {
    const { log, client, metrics } = this.#dependencies;
    const { fields, receivedAtMs, limitMs } = accepted;
    const cached = this.#cache.find(turnId);
    if (cached !== undefined) {
      metrics.add("chains_cached");
      return { kind: "loaded", chain: cached };
    }
    const startedAtMs = performance.now();
    const loaded = await client.load(turnId, {
      key: fields.programId ?? turnId,
      deadlineMs: receivedAtMs + limitMs * LOAD_SHARE,
    });
    const durationMs = performance.now() - startedAtMs;
    metrics.record("chain_load", durationMs);
    log.write(EVENTS.ChainLoaded, {
      request: fields.requestId,
      turn: turnId,
      outcome: loaded.kind,
      detail: loaded.kind === "unknown" ? loaded.detail : "",
      turns: loaded.kind === "found" ? loaded.chain.length : 0,
      duration_ms: Math.round(durationMs),
    });
    switch (loaded.kind) {
      case "found":
        metrics.add("chains_loaded");
        this.#cache.add(loaded.chain);
        return { kind: "loaded", chain: loaded.chain };
      case "absent":
        return refuseUnknown(turnId);
      case "unknown":
        return refuse("HistoryUnavailable", loaded.detail);
    }
  }

  async #save(
    chain: TurnChain,
    { accepted, deadlineMs }: {
      readonly accepted: AcceptedRequest;
      readonly deadlineMs: number;
    },
  ): Promise<boolean> {
    const { client, log, metrics } = this.#dependencies;
    const { fields } = accepted;
    const startedAtMs = performance.now();
    const isKept = await client.save(chain, {
      key: fields.programId ?? fields.requestId,
      deadlineMs,
    });
    const durationMs = performance.now() - startedAtMs;
    metrics.record("turn_save", durationMs);
    metrics.add(isKept ? "turns_kept" : "turns_not_kept");
    if (isKept) this.#cache.add(chain);
    log.write(EVENTS.TurnKept, {
      request: fields.requestId,
      kept: isKept,
      turns: chain.length,
      duration_ms: Math.round(durationMs),
    });
    return isKept;
  }
}

function refuseUnknown(turnId: string | undefined): HistoryRefusal {
  return refuse("TurnUnknown", `no turn ${turnId} is kept`);
}

function refuse(code: ResultCodeName, detail: string): HistoryRefusal {
  return { kind: "refused", code, detail };
}
