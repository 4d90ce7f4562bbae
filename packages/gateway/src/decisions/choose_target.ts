/**
 * Chooses the target of a request.
 *
 * The load that this answers: many gateways place short, steady work beside
 * bursts, each with only its own view. The target with the least expected time
 * to the first token is taken: reading the part of the prompt that it doesn't
 * keep, waiting behind this gateway's requests there and as long as its others
 * waited lately, and the way. Among equals each gateway begins with another
 * target, so that not all of them fill the same one.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import type { PromptPart } from "../model/request_fields.ts";
import type { KnownTarget } from "./target_table.ts";

/** Prompt tokens that an engine reads in a millisecond; engines vary little. */
const PREFILL_TOKENS_PER_MS = 500;
/** Time there and back to another failure domain of the region. */
const OTHER_DOMAIN_MS = 3;
/** Time there and back to another region, and what its traffic costs. */
const OTHER_REGION_MS = 30;
/** How much a running request delays another while slots are free. */
const SHARED_SLOT_MS = 4;
/** How much a request without a free slot waits for each ahead of it. */
const QUEUED_MS = 40;

/** Where the request came in, and what it needs. */
export interface PlacementRequest {
  readonly prompt: readonly PromptPart[];
  readonly failureDomain: string;
  readonly regions: ReadonlyMap<string, string>;
  /** Targets that already turned this request away. */
  readonly excluded: ReadonlySet<string>;
  readonly nowMs: number;
  /** The gateway that chooses. */
  readonly vmId: string;
}

/** Chooses among targets that take new work; absent when all are excluded. */
export function chooseTarget(
  targets: readonly KnownTarget[],
  request: PlacementRequest,
): KnownTarget | undefined {
  const open = targets.filter(({ target }) => !request.excluded.has(target.id));
  const sound = open.filter(({ avoidedUntilMs }) =>
    avoidedUntilMs <= request.nowMs
  );
  const candidates = sound.length > 0 ? sound : open;
  let best: KnownTarget | undefined;
  let bestMs = Number.POSITIVE_INFINITY;
  for (const known of candidates) {
    const costMs = computeCostMs(known, request);
    if (costMs > bestMs) continue;
    if (
      costMs === bestMs && best !== undefined &&
      computeOrder(known, request) < computeOrder(best, request)
    ) continue;
    best = known;
    bestMs = costMs;
  }
  return best;
}

function computeCostMs(known: KnownTarget, request: PlacementRequest): number {
  const { target, running, prefixes } = known;
  const waiting = Math.max(0, running + 1 - Math.max(1, target.slots));
  return prefixes.countMissing(request.prompt) / PREFILL_TOKENS_PER_MS +
    running * SHARED_SLOT_MS + waiting * QUEUED_MS +
    known.computeDelayMs(request.nowMs) +
    computeWayMs(target.failureDomain, request);
}

function computeOrder(known: KnownTarget, { vmId }: PlacementRequest): number {
  return computeHash(`${vmId}|${known.target.id}`);
}

function computeWayMs(domain: string, request: PlacementRequest): number {
  if (domain === request.failureDomain) return 0;
  const { regions } = request;
  return regions.get(domain) === regions.get(request.failureDomain)
    ? OTHER_DOMAIN_MS
    : OTHER_REGION_MS;
}
