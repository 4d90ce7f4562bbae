/**
 * Decides which requests crash the targets that run them.
 *
 * The load: a few requests that crash whatever runs them, sent again and again
 * under other ids through all gateways, each crash taking up to a whole batch of
 * innocent requests with it; beside them targets that end for reasons of their
 * own, alone, by the failure domain, or over and over on one VM.
 *
 * Each end of a target is evidence against everything that ran there, shared
 * equally. A request is blocked once it ran at the ends of targets on two
 * addresses and the evidence amounts to about one whole target, or at three. Of
 * several candidates only the one that met most ends is blocked, and the ends
 * that a blocked request explains no longer count against the others.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import type { BlockedRequest, CrashReport } from "../model/crash_report.ts";

/** Time in which the reports of all gateways about one end arrive. */
const COLLECT_MS = 120;
/** How long evidence counts: far longer than callers repeat a request. */
const EVIDENCE_MS = 600_000;
/** How long a request is blocked at first; doubles each further time. */
export const FIRST_BLOCK_MS = 600_000;
const MAX_BLOCK_MS = 3_600_000;
/** Ends at which the request is blocked whatever else ran there. */
const CERTAIN_CRASHES = 3;
const LIKELY_CRASHES = 2;
/** Shares of ends that must add up to block at `LIKELY_CRASHES`. */
const LIKELY_SHARE = 0.9;
/** Ends that are remembered; the oldest are forgotten first. */
const MAX_CRASHES = 1_000;
const MAX_BLOCKED = 1_000;

interface Crash {
  readonly service: string;
  readonly address: string;
  readonly atMs: number;
  readonly fingerprints: Set<string>;
  isJudged: boolean;
  /** Whether a blocked request ran there. */
  isExplained: boolean;
}

interface PastBlock {
  readonly times: number;
  readonly untilMs: number;
}

/** Judges the ends of targets that gateways report. */
export class CrashJudge {
  readonly #byIncarnation = new BoundedMap<string, Crash>(MAX_CRASHES);
  readonly #pastBlocks = new BoundedMap<string, PastBlock>(MAX_BLOCKED);

  /** Records what one gateway saw. */
  record(report: CrashReport, nowMs: number): void {
    const { incarnation, service, address, fingerprints, ageMs } = report;
    const known = this.#byIncarnation.get(incarnation);
    const crash: Crash = known ?? {
      service,
      address,
      atMs: nowMs - ageMs,
      fingerprints: new Set(),
      isJudged: false,
      isExplained: false,
    };
    for (const each of fingerprints) crash.fingerprints.add(each);
    if (known === undefined) this.#byIncarnation.set(incarnation, crash);
  }

  /** Judges the ends whose reports have arrived; returns what to block. */
  settle(nowMs: number): BlockedRequest[] {
    const blocked: BlockedRequest[] = [];
    for (const [incarnation, crash] of this.#byIncarnation.list()) {
      const ageMs = nowMs - crash.atMs;
      if (ageMs > EVIDENCE_MS) this.#byIncarnation.remove(incarnation);
      else if (!crash.isJudged && ageMs >= COLLECT_MS) {
        crash.isJudged = true;
        blocked.push(...this.#settleCrash(crash, nowMs));
      }
    }
    return blocked;
  }

  /** Takes back a block, since the request has completed at a target. */
  release(fingerprint: string): void {
    this.#pastBlocks.remove(fingerprint);
    for (const [, { fingerprints }] of this.#byIncarnation.list()) {
      fingerprints.delete(fingerprint);
    }
  }

  #settleCrash(crash: Crash, nowMs: number): BlockedRequest[] {
    const candidates = [...crash.fingerprints]
      .map((fingerprint) => this.#measureEvidence(fingerprint));
    const known = candidates.filter(({ past }) => past !== undefined);
    const culprits = known.length > 0 ? known : chooseCulprits(candidates);
    for (const { crashes } of culprits) {
      for (const each of crashes) each.isExplained = true;
    }
    // What was sent before the block was known everywhere changes nothing.
    return culprits
      .filter(({ past }) => past === undefined || past.untilMs <= nowMs)
      .map((each) => this.#buildBlock(each, nowMs));
  }

  /** Adds up the evidence against one request. */
  #measureEvidence(fingerprint: string): Candidate {
    const all = this.#byIncarnation.list()
      .map(([, crash]) => crash)
      .filter(({ fingerprints }) => fingerprints.has(fingerprint));
    const crashes = all.filter(({ isExplained }) => !isExplained);
    return {
      fingerprint,
      crashes,
      isElsewhere: countAddresses(all) >= LIKELY_CRASHES,
      ends: all.length,
      share: crashes.reduce((sum, each) => sum + 1 / each.fingerprints.size, 0),
      past: this.#pastBlocks.get(fingerprint),
    };
  }

  #buildBlock(
    { fingerprint, crashes, past }: Candidate,
    nowMs: number,
  ): BlockedRequest {
    const times = (past?.times ?? 0) + 1;
    const leftMs = Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * 2 ** (times - 1));
    this.#pastBlocks.set(fingerprint, { times, untilMs: nowMs + leftMs });
    const firstAtMs = Math.min(...crashes.map(({ atMs }) => atMs));
    return {
      fingerprint,
      service: crashes[0]?.service ?? "",
      crashes: crashes.length,
      leftMs,
      firstCrashAgeMs: nowMs - firstAtMs,
    };
  }
}

interface Candidate {
  readonly fingerprint: string;
  /** Ends at which it ran and that nothing else explains. */
  readonly crashes: readonly Crash[];
  /** Whether it ran at ends on several addresses. */
  readonly isElsewhere: boolean;
  /** All ends at which it ran. */
  readonly ends: number;
  readonly share: number;
  /** The block that it got before. */
  readonly past: PastBlock | undefined;
}

function chooseCulprits(candidates: readonly Candidate[]): Candidate[] {
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
  return isLikely ? [leader] : [];
}

function countAddresses(crashes: readonly Crash[]): number {
  return new Set(crashes.map(({ address }) => address)).size;
}
