/**
 * The requests that aren't sent to any target, since they crash them, and those
 * that completed lately, which can't be among them.
 *
 * Both are bounded: what is blocked the longest and what completed the longest
 * ago is forgotten first, so that a caller that sends ever other requests takes
 * no memory and costs the others nothing.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import type { BlockedRequest } from "../model/crash_report.ts";
import type { Fingerprint } from "../model/request_fingerprint.ts";

const MAX_BLOCKED = 1_000;
/** A minute of requests of a busy gateway. */
const MAX_COMPLETED = 8_192;

/** A blocked request, and until when it's blocked. */
export interface Block extends Pick<BlockedRequest, "service" | "crashes"> {
  readonly untilMs: number;
  readonly firstCrashAtMs: number;
}

/** An address that a request isn't sent to. */
export interface Trial extends Block {
  readonly address: string;
}

/** How a notice changed what is blocked. */
export type BlockChange =
  | "none"
  | "blocked"
  | "avoiding"
  | "let_in"
  | "contradicted";

/** The requests that are blocked at one gateway. */
export class BlockedRequests {
  readonly #blocks = new BoundedMap<string, Block>(MAX_BLOCKED);
  readonly #trials = new BoundedMap<string, Trial>(MAX_BLOCKED);
  /** When requests were let in before their time, as they had completed. */
  readonly #letInAtMs = new BoundedMap<string, number>(MAX_BLOCKED);
  readonly #completedAtMs = new BoundedMap<string, number>(MAX_COMPLETED);

  /** Finds the block of a request; undefined if it may be sent. */
  find({ request, resource }: Fingerprint, nowMs: number): Block | undefined {
    return this.#findOne(request, nowMs) ?? this.#findOne(resource, nowMs);
  }

  /** Finds the address that a request avoids; undefined if there is none. */
  findTrial({ request }: Fingerprint, nowMs: number): Trial | undefined {
    const trial = this.#trials.get(request);
    return trial !== undefined && trial.untilMs > nowMs ? trial : undefined;
  }

  /** Applies a notice, unless the request has completed here since. */
  apply(notice: BlockedRequest, nowMs: number): BlockChange {
    const { fingerprint, service, crashes, leftMs } = notice;
    const known = this.#findOne(fingerprint, nowMs);
    if (leftMs <= 0) {
      this.#blocks.remove(fingerprint);
      this.#trials.remove(fingerprint);
      this.#letInAtMs.set(fingerprint, nowMs);
      return known === undefined ? "none" : "let_in";
    }
    if (this.#hasCompletedSince(notice, nowMs)) return "contradicted";
    const firstCrashAtMs = nowMs - notice.firstCrashAgeMs;
    // A gateway that doesn't know yet that it was let in may still tell it.
    if (firstCrashAtMs <= (this.#letInAtMs.get(fingerprint) ?? -Infinity)) {
      return "none";
    }
    const { avoidedAddress: address } = notice;
    if (address !== undefined) {
      const untilMs = nowMs + leftMs;
      const trial = { service, crashes, untilMs, firstCrashAtMs, address };
      this.#trials.set(fingerprint, trial);
      return "avoiding";
    }
    const untilMs = Math.max(nowMs + leftMs, known?.untilMs ?? 0);
    this.#blocks.set(fingerprint, {
      service,
      crashes,
      untilMs,
      firstCrashAtMs,
    });
    return known === undefined ? "blocked" : "none";
  }

  /** Records that a target completed a request. */
  recordCompleted({ request, resource }: Fingerprint, nowMs: number): void {
    this.#completedAtMs.set(request, nowMs);
    this.#completedAtMs.set(resource, nowMs);
  }

  /** Lists what has completed here since the first crash under it. */
  listCompleted(
    notices: readonly BlockedRequest[],
    nowMs: number,
  ): readonly string[] {
    return notices.filter((notice) => this.#hasCompletedSince(notice, nowMs))
      .map(({ fingerprint }) => fingerprint);
  }

  /** Number of entries, to find out whether two gateways know the same. */
  get size(): number {
    return this.#blocks.size;
  }

  hasCompleted(fingerprint: string): boolean {
    return this.#completedAtMs.has(fingerprint);
  }

  /** Lists what is blocked, for a gateway that doesn't know. */
  list(nowMs: number): BlockedRequest[] {
    return this.#blocks.list().flatMap(([fingerprint, block]) => {
      if (block.untilMs <= nowMs) return [];
      const { service, crashes, untilMs, firstCrashAtMs } = block;
      const leftMs = untilMs - nowMs;
      const firstCrashAgeMs = nowMs - firstCrashAtMs;
      return [{ fingerprint, service, crashes, leftMs, firstCrashAgeMs }];
    });
  }

  #findOne(fingerprint: string, nowMs: number): Block | undefined {
    const block = this.#blocks.get(fingerprint);
    return block !== undefined && block.untilMs > nowMs ? block : undefined;
  }

  #hasCompletedSince(
    { fingerprint, firstCrashAgeMs }: BlockedRequest,
    nowMs: number,
  ): boolean {
    const completedAtMs = this.#completedAtMs.get(fingerprint);
    return completedAtMs !== undefined &&
      completedAtMs > nowMs - firstCrashAgeMs;
  }

  /** Removes and returns the requests that are let in again. */
  takeExpired(nowMs: number): string[] {
    const expired = this.#blocks.list()
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .map(([fingerprint]) => fingerprint);
    for (const fingerprint of expired) this.#blocks.remove(fingerprint);
    for (const [fingerprint, { untilMs }] of this.#trials.list()) {
      if (untilMs <= nowMs) this.#trials.remove(fingerprint);
    }
    return expired;
  }
}
