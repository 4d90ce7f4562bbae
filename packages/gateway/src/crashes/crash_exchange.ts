/**
 * Brings what all gateways saw of the ends of targets together, and tells all
 * of them which requests aren't sent any more.
 *
 * Two homes, the gateways that rank first for a service, attribute the ends of
 * its targets to requests, each by itself, so that the loss of one changes
 * nothing. A gateway that reaches neither attributes what it saw itself. One at
 * which a blocked request has completed since objects, and the block is
 * withdrawn.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { BlockedRequests } from "../decisions/blocked_requests.ts";
import { CrashAttribution } from "../decisions/crash_attribution.ts";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { EndedTargets } from "../decisions/ended_targets.ts";
import { getAddress, getIncarnation } from "../decisions/target_table.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { BlockedRequest, CrashReport } from "../model/crash_report.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import { KEPT_BLOCKS_KEY, type KeptBlocks } from "./kept_blocks.ts";
import type { TargetEnd } from "./crash_observer.ts";

/** Gateways that attribute the ends of one service's targets. */
const HOMES = 2;
/** Attempts to tell a gateway; the exchange of lists reaches it later. */
const SHARE_ATTEMPTS = 3;
const SHARE_RETRY_MS = 400;
/** Blocked requests in one response, the newest ones. */
const MAX_SHARED = 100;

/** Dependencies of the exchange. */
export interface CrashExchangeDependencies {
  readonly blocked: BlockedRequests;
  readonly directory: PeerDirectory;
  readonly links: Pick<PeerLinks, "call">;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly vmId: string;
  readonly keptBlocks: KeptBlocks;
  readonly ended: EndedTargets;
  /** Called when a request isn't sent to targets any more. */
  readonly onBlocked: () => void;
}

/** One gateway's part in finding the requests that crash targets. */
export class CrashExchange {
  readonly #dependencies: CrashExchangeDependencies;
  readonly #attribution = new CrashAttribution();

  constructor(dependencies: CrashExchangeDependencies) {
    this.#dependencies = dependencies;
  }

  /** Number of blocked requests. */
  get blockedCount(): number {
    return this.#dependencies.blocked.size;
  }

  /** Reports the end of a target that ran requests of this gateway. */
  async report({ target, requests: running }: TargetEnd): Promise<void> {
    const { blocked, directory, links, vmId, metrics } = this.#dependencies;
    const requests = running.filter(({ request }) =>
      !blocked.hasCompleted(request)
    );
    metrics.add("target_ends");
    const report: CrashReport = {
      service: target.service,
      incarnation: getIncarnation(target),
      address: getAddress(target),
      requests,
      ageMs: 0,
    };
    const homes = directory.sortHomes(`crashes|${target.service}`)
      .slice(0, HOMES);
    const reached = await Promise.all(homes.map(async (home) => {
      if (home.vmId === vmId) {
        this.recordReport(report);
        return true;
      }
      const message = { kind: "report_crash", report } as const;
      return await links.call(home, message) !== undefined;
    }));
    if (!reached.includes(true)) this.recordReport(report);
  }

  /** Records a report as one of its homes. */
  recordReport(report: CrashReport): void {
    const { ended, directory, links } = this.#dependencies;
    const isNew = this.#attribution.record(report, performance.now());
    ended.record(report.incarnation);
    if (!isNew) return;
    const { incarnation } = report;
    for (const peer of directory.list()) {
      // A gateway that isn't told asks the target itself.
      void links.call(peer, { kind: "share_end", incarnation });
    }
  }

  /** Attributes what was reported; lets in what was blocked for long enough. */
  runDue(nowMs: number): void {
    const { blocked } = this.#dependencies;
    for (const fingerprint of blocked.takeExpired(nowMs)) {
      this.#log(fingerprint, { change: "let_in" });
    }
    const { requests, resources, trials } = this.#attribution.settle(nowMs);
    const found = [...requests, ...trials];
    if (found.length > 0) void this.#publish(found);
    if (resources.length > 0) void this.#publishAgreed(resources);
  }

  /**
   * Applies what another gateway blocks; returns the requests that have
   * completed here since their first crash.
   */
  applyBlocked(
    notices: readonly BlockedRequest[],
    isProposed = false,
  ): readonly string[] {
    const { blocked, onBlocked } = this.#dependencies;
    if (isProposed) return blocked.listCompleted(notices, performance.now());
    return notices.flatMap((notice) => {
      const change = blocked.apply(notice, performance.now());
      if (change !== "none") {
        this.#log(notice.fingerprint, { ...notice, change });
      }
      if (change === "blocked") onBlocked();
      return change === "contradicted" ? [notice.fingerprint] : [];
    });
  }

  /**
   * Applies what the keepers know. One gateway saves what they lack, since they
   * may have started anew. Never rejects.
   */
  async compareBlocked(): Promise<void> {
    const { keptBlocks, blocked, directory } = this.#dependencies;
    const kept = await keptBlocks.load();
    this.applyBlocked(kept.filter(({ leftMs }) => leftMs > 0));
    if (!directory.isTopRanked(KEPT_BLOCKS_KEY)) return;
    const known = new Set(kept.map(({ fingerprint }) => fingerprint));
    const missing = blocked.list(performance.now())
      .filter(({ fingerprint }) => !known.has(fingerprint));
    keptBlocks.save(missing);
  }

  /** Builds the list for a gateway that doesn't know as many. */
  buildUpdate(
    knownCount: number,
  ): { readonly blocked?: readonly BlockedRequest[] } {
    const { blocked } = this.#dependencies;
    if (knownCount === blocked.size) return {};
    return { blocked: blocked.list(performance.now()).slice(-MAX_SHARED) };
  }

  /** Blocks resources, unless a request about one has completed somewhere. */
  async #publishAgreed(found: readonly BlockedRequest[]): Promise<void> {
    const { blocked, directory } = this.#dependencies;
    const nowMs = performance.now();
    const answers = await Promise.all(
      directory.list().map((peer) => this.#sendBlocked(peer, found, true)),
    );
    const completed = new Set([
      ...blocked.listCompleted(found, nowMs),
      ...answers.flat(),
    ]);
    for (const fingerprint of completed) this.#attribution.release(fingerprint);
    const agreed = found.filter(({ fingerprint }) =>
      !completed.has(fingerprint)
    );
    if (agreed.length > 0) await this.#publish(agreed);
  }

  /** Tells all gateways, and withdraws what one of them objects to. */
  async #publish(found: readonly BlockedRequest[]): Promise<void> {
    const { directory, keptBlocks } = this.#dependencies;
    const completed = new Set(this.applyBlocked(found));
    // A trial is over before a gateway that starts anew could apply it.
    keptBlocks.save(
      found.filter(({ avoidedAddress }) => avoidedAddress === undefined),
    );
    const answers = await Promise.all(
      directory.list().map((peer) => this.#sendBlocked(peer, found)),
    );
    for (const fingerprint of answers.flat()) completed.add(fingerprint);
    const withdrawn = found.filter(({ fingerprint }) =>
      completed.has(fingerprint)
    );
    if (withdrawn.length === 0) return;
    const notices = withdrawn.map((each) => ({ ...each, leftMs: 0 }));
    for (const { fingerprint } of notices) {
      this.#attribution.release(fingerprint);
    }
    this.applyBlocked(notices);
    keptBlocks.save(notices);
    await Promise.all(
      directory.list().map((peer) => this.#sendBlocked(peer, notices)),
    );
  }

  async #sendBlocked(
    peer: PeerInfo,
    blocked: readonly BlockedRequest[],
    isProposed = false,
  ): Promise<readonly string[]> {
    for (let attempt = 1; attempt <= SHARE_ATTEMPTS; attempt += 1) {
      const message = { kind: "share_blocked", blocked, isProposed } as const;
      const response = await this.#dependencies.links.call(peer, message);
      if (response !== undefined) return response.completed ?? [];
      await new Promise((resolve) => setTimeout(resolve, SHARE_RETRY_MS));
    }
    return [];
  }

  #log(fingerprint: string, fields: object): void {
    this.#dependencies.log.write(EVENTS.RequestBlocked, {
      fingerprint,
      ...fields,
    });
  }
}
