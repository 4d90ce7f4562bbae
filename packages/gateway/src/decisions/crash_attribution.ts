/**
 * Decides which requests crash the targets that run them.
 *
 * The load: a few requests that crash whatever runs them, sent again and again
 * under other ids through all gateways, each crash taking up to a whole batch of
 * harmless requests with it; beside them targets that end for reasons of their
 * own, alone, by the failure domain, or over and over on one VM.
 *
 * Each end of a target is evidence against everything that ran there, shared
 * equally. A request is blocked once it ran at the ends of targets on two
 * addresses and the evidence amounts to half a target, or at three ends. If all
 * ends are at one address, it's kept away from there first, and blocked if the
 * target lives without it and ends with it again (see `address_trials.ts`). Of
 * several candidates only the one that met most ends is blocked, and the ends
 * that a blocked request explains no longer count against the others. What is
 * wrong is often what a request is about: once another one about the same
 * resource meets an end, the resource is blocked, if none has completed.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import { AddressTrials, TRIAL_MS, type TrialResult } from "./address_trials.ts";
import type { BlockedRequest, CrashReport } from "../model/crash_report.ts";
import type { Fingerprint } from "../model/request_fingerprint.ts";

/** Time in which the reports of all gateways about one end arrive. */
const COLLECT_MS = 60;
/** How long evidence counts: far longer than callers repeat a request. */
const EVIDENCE_MS = 600_000;
/** How long a request is blocked at first; doubles each further time. */
export const FIRST_BLOCK_MS = 600_000;
const MAX_BLOCK_MS = 3_600_000;
/** Ends at which the request is blocked whatever else ran there. */
const CERTAIN_CRASHES = 3;
const LIKELY_CRASHES = 2;
/** Shares of ends that must add up to block at `LIKELY_CRASHES`. */
const LIKELY_SHARE = 0.5;
/** Ends that are remembered; the oldest are forgotten first. */
const MAX_CRASHES = 1_000;
const MAX_BLOCKED = 1_000;

interface Crash {
  readonly service: string;
  readonly address: string;
  readonly atMs: number;
  /** What ran there, by the request's fingerprint. */
  readonly requests: Map<string, Fingerprint>;
  isSettled: boolean;
  /** Whether a blocked request ran there. */
  isExplained: boolean;
}

/** What is to be blocked. */
export interface BlockDecision {
  readonly requests: readonly BlockedRequest[];
  /** All requests about these, unless one of them has completed meanwhile. */
  readonly resources: readonly BlockedRequest[];
  /** Requests that aren't sent to one address for a while. */
  readonly trials: readonly BlockedRequest[];
}

interface FirstBlocked {
  readonly request: string;
  readonly firstAtMs: number;
}

interface PastBlock {
  readonly times: number;
  readonly untilMs: number;
}

/** Attributes the ends of targets that gateways report. */
export class CrashAttribution {
  readonly #byIncarnation = new BoundedMap<string, Crash>(MAX_CRASHES);
  readonly #pastBlocks = new BoundedMap<string, PastBlock>(MAX_BLOCKED);
  /** The first blocked request about each resource. */
  readonly #firstBlocked = new BoundedMap<string, FirstBlocked>(
    MAX_BLOCKED,
  );
  readonly #trials = new AddressTrials();

  /** Records what one gateway saw; whether it's the first to report the end. */
  record(report: CrashReport, nowMs: number): boolean {
    const { incarnation, service, address, requests, ageMs } = report;
    const known = this.#byIncarnation.get(incarnation);
    const crash: Crash = known ?? {
      service,
      address,
      atMs: nowMs - ageMs,
      requests: new Map(),
      isSettled: false,
      isExplained: false,
    };
    for (const each of requests) crash.requests.set(each.request, each);
    if (known === undefined) this.#byIncarnation.set(incarnation, crash);
    return known === undefined;
  }

  /** Attributes the ends whose reports have arrived; returns what to block. */
  settle(nowMs: number): BlockDecision {
    const requests: BlockedRequest[] = [];
    const resources: BlockedRequest[] = [];
    const trials: BlockedRequest[] = [];
    for (const [incarnation, crash] of this.#byIncarnation.list()) {
      const ageMs = nowMs - crash.atMs;
      if (ageMs > EVIDENCE_MS) this.#byIncarnation.remove(incarnation);
      else if (!crash.isSettled && ageMs >= COLLECT_MS) {
        crash.isSettled = true;
        const causes = this.#settleCrash(crash, nowMs);
        requests.push(...causes);
        if (!crash.isExplained) trials.push(...this.#startTrials(crash, nowMs));
        resources.push(...this.#settleResources(crash, nowMs));
      }
    }
    return { requests, resources, trials };
  }

  /** Takes back a block, since the request has completed at a target. */
  release(fingerprint: string): void {
    this.#pastBlocks.remove(fingerprint);
    this.#trials.remove(fingerprint);
    for (const [resource, { request }] of this.#firstBlocked.list()) {
      const isReleased = resource === fingerprint || request === fingerprint;
      if (isReleased) this.#firstBlocked.remove(resource);
    }
    for (const [, { requests }] of this.#byIncarnation.list()) {
      requests.delete(fingerprint);
    }
  }

  #settleCrash(crash: Crash, nowMs: number): BlockedRequest[] {
    const candidates = [...crash.requests.values()]
      .map((fingerprint) => this.#measureEvidence(fingerprint));
    const known = candidates.filter(({ past }) => past !== undefined);
    const causes = known.length > 0 ? known : chooseCauses(candidates);
    for (const { crashes } of causes) {
      for (const each of crashes) each.isExplained = true;
    }
    // What was sent before the block was known everywhere changes nothing.
    return causes
      .filter(({ past }) => past === undefined || past.untilMs <= nowMs)
      .map((each) => this.#buildBlock(each, nowMs));
  }

  /** Keeps what may have ended one address several times away from there. */
  #startTrials(crash: Crash, nowMs: number): BlockedRequest[] {
    const doubted = [...crash.requests.values()]
      .map((fingerprint) => this.#measureEvidence(fingerprint))
      .filter(({ isElsewhere, crashes }) =>
        !isElsewhere && crashes.length >= LIKELY_CRASHES
      );
    const durations = this.#trials.start(
      doubted.map(({ request }) => request),
      crash,
      nowMs,
    );
    return doubted.map((candidate) => ({
      ...buildNotice(candidate, nowMs),
      leftMs: durations.get(candidate.request) ?? TRIAL_MS,
      avoidedAddress: crash.address,
    }));
  }

  /**
   * Finds the resources about which a second request ran at the end of a
   * target, after one about it was blocked.
   */
  #settleResources(crash: Crash, nowMs: number): BlockedRequest[] {
    return [...crash.requests.values()].flatMap(({ request, resource }) => {
      const first = this.#firstBlocked.get(resource);
      const past = this.#pastBlocks.get(resource);
      if (first === undefined || first.request === request) return [];
      if (past !== undefined && past.untilMs > nowMs) return [];
      const untilMs = nowMs + FIRST_BLOCK_MS;
      this.#pastBlocks.set(resource, { times: 1, untilMs });
      return [{
        fingerprint: resource,
        service: crash.service,
        crashes: this.#countCrashes(resource),
        leftMs: FIRST_BLOCK_MS,
        firstCrashAgeMs: nowMs - first.firstAtMs,
      }];
    });
  }

  #countCrashes(resource: string): number {
    return this.#byIncarnation.list().filter(([, { requests }]) =>
      [...requests.values()].some((each) => each.resource === resource)
    ).length;
  }

  /** Adds up the evidence against one request. */
  #measureEvidence({ request, resource }: Fingerprint): Candidate {
    const everywhere = this.#byIncarnation.list().map(([, crash]) => crash);
    const all = everywhere.filter(({ requests }) => requests.has(request));
    const crashes = all.filter(({ isExplained }) => !isExplained);
    return {
      request,
      resource,
      crashes,
      isElsewhere: countAddresses(all) >= LIKELY_CRASHES,
      trial: this.#trials.findResult(request, everywhere),
      ends: all.length,
      share: crashes.reduce((sum, each) => sum + 1 / each.requests.size, 0),
      past: this.#pastBlocks.get(request),
    };
  }

  #buildBlock(candidate: Candidate, nowMs: number): BlockedRequest {
    const { request, resource, past } = candidate;
    const times = (past?.times ?? 0) + 1;
    const leftMs = Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * 2 ** (times - 1));
    this.#pastBlocks.set(request, { times, untilMs: nowMs + leftMs });
    if (!this.#firstBlocked.has(resource)) {
      const firstAtMs = findFirstAtMs(candidate);
      this.#firstBlocked.set(resource, { request, firstAtMs });
    }
    return { ...buildNotice(candidate, nowMs), leftMs };
  }
}

interface Candidate extends Fingerprint {
  /** Ends at which it ran and that nothing else explains. */
  readonly crashes: readonly Crash[];
  /** Whether it ran at ends on several addresses. */
  readonly isElsewhere: boolean;
  /** What trials of its only address say. */
  readonly trial: TrialResult;
  /** All ends at which it ran. */
  readonly ends: number;
  readonly share: number;
  /** The block that it got before. */
  readonly past: PastBlock | undefined;
}

function chooseCauses(candidates: readonly Candidate[]): Candidate[] {
  const tried = candidates.filter(({ trial }) => trial === "certain");
  if (tried.length > 0) return tried;
  const likely = candidates.filter(({ isElsewhere, crashes }) =>
    isElsewhere && crashes.length >= LIKELY_CRASHES
  );
  const most = Math.max(0, ...likely.map(({ crashes }) => crashes.length));
  const leaders = likely.filter(({ crashes }) => crashes.length === most);
  // Ends that another one explains count here, so that several such requests
  // that always meet don't clear each other.
  const certain = leaders.filter(({ ends }) => ends >= CERTAIN_CRASHES);
  if (certain.length > 0) return certain;
  const [leader] = leaders;
  const isLikely = leaders.length === 1 && leader !== undefined &&
    leader.share >= LIKELY_SHARE;
  if (isLikely) return [leader];
  const alone = candidates.filter(({ trial }) => trial === "likely");
  return alone.length === 1 ? alone : [];
}

function buildNotice(
  candidate: Candidate,
  nowMs: number,
): Omit<BlockedRequest, "leftMs"> {
  const { request, crashes } = candidate;
  return {
    fingerprint: request,
    service: crashes[0]?.service ?? "",
    crashes: crashes.length,
    firstCrashAgeMs: nowMs - findFirstAtMs(candidate),
  };
}

function findFirstAtMs({ crashes }: Candidate): number {
  return Math.min(...crashes.map(({ atMs }) => atMs));
}

function countAddresses(crashes: readonly Crash[]): number {
  return new Set(crashes.map(({ address }) => address)).size;
}
