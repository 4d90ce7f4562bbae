/**
 * Exchanges the load of targets with the other gateways: reports to the
 * collector of this region, and is one if it ranks first.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { GatewayLog } from "../log.ts";
import type { PeerLinks } from "../peers/peer_links.ts";
import { LoadCollector } from "./load_collector.ts";
import type { LoadAnswer, LoadReport } from "./load_messages.ts";
import type { LoadReporter } from "./load_reporter.ts";
import type { LoadView } from "./load_view.ts";

/** Interval of the reports. */
export const REPORT_INTERVAL_MS = 200;
/** A call ends before the next report is due. */
const CALL_TIMEOUT_MS = 150;
/** Ranks the gateways as collectors. */
const COLLECTOR_KEY = "load";
/** How many reports a collector that missed the list of targets may miss it. */
const REPEAT_WANTED_REPORTS = 25;

/**
 * How long a collector that didn't respond is left out. It isn't suspected as a
 * peer: a small VM that is busy for a moment would lose its accounts.
 */
const LEFT_OUT_MS = 2_000;

/** The dependencies of the exchange. */
export interface LoadExchangeDependencies {
  readonly directory: Pick<PeerDirectory, "listAvailable" | "sortHomes">;
  readonly links: Pick<PeerLinks, "callAddress">;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly vmId: string;
  readonly region: string;
  readonly reporter: LoadReporter;
  readonly view: LoadView;
  /** Ids of the targets that this gateway uses. */
  readonly listUsed: (nowMs: number) => readonly string[];
  /** Finds the tokens that a target's memory holds. */
  readonly findMemory: (targetId: string) => number | undefined;
}

/** One gateway's part in the exchange. */
export class LoadExchange {
  readonly #dependencies: LoadExchangeDependencies;
  readonly #collector: LoadCollector;
  #collectorId: string | undefined;
  /** The targets that the collector was last told of. */
  #toldWanted = "";
  #reportsSinceTold = 0;
  /** Collectors that didn't respond, by VM. */
  readonly #leftOutUntilMs = new Map<string, number>();
  #isCalling = false;

  constructor(dependencies: LoadExchangeDependencies) {
    this.#dependencies = dependencies;
    this.#collector = new LoadCollector(dependencies.findMemory);
  }

  /** Sends what is due: a report, and as the collector the sums. */
  runDue(nowMs: number): void {
    if (this.#dependencies.reporter.hasReport(nowMs) && !this.#isCalling) {
      this.#isCalling = true;
      void this.#report(nowMs).finally(() => this.#isCalling = false);
    }
    if (this.#collector.isInUse(nowMs)) this.#sendSums(nowMs);
  }

  removeUnused(nowMs: number): void {
    this.#collector.removeUnused(nowMs);
    for (const [vmId, untilMs] of this.#leftOutUntilMs) {
      if (untilMs <= nowMs) this.#leftOutUntilMs.delete(vmId);
    }
  }

  /** Answers a report, or records the sums of another region. */
  answer(report: LoadReport, from: PeerInfo): LoadAnswer | undefined {
    const nowMs = performance.now();
    if ("sums" in report) {
      this.#collector.applySums(from.vmId, report, nowMs);
      return undefined;
    }
    return this.#collector.answer(from.vmId, report, nowMs);
  }

  async #report(nowMs: number): Promise<void> {
    const { reporter, view, listUsed, vmId, metrics } = this.#dependencies;
    const collector = this.#chooseCollector(this.#dependencies.region);
    if (collector === undefined) return;
    this.#recordCollector(collector.vmId);
    const wanted = listUsed(nowMs);
    const wantedKey = wanted.join(" ");
    this.#reportsSinceTold += 1;
    const isTold = wantedKey === this.#toldWanted &&
      this.#reportsSinceTold < REPEAT_WANTED_REPORTS;
    const report: LoadReport = {
      kind: "report_load",
      targets: reporter.take(nowMs),
      ...isTold ? {} : { wanted },
    };
    metrics.add("load_reports");
    const answer = collector.vmId === vmId
      ? this.#collector.answer(vmId, report, nowMs)
      : await this.#call(collector, report);
    if (answer === undefined) {
      metrics.add("load_reports_failed");
      this.#toldWanted = "";
      return;
    }
    if (!isTold) this.#reportsSinceTold = 0;
    this.#toldWanted = answer.needsWanted ? "" : wantedKey;
    if (!answer.needsWanted) view.set(answer, nowMs);
  }

  async #call(
    collector: PeerInfo,
    report: LoadReport,
  ): Promise<LoadAnswer | undefined> {
    const { links } = this.#dependencies;
    const response = await links
      .callAddress(collector, report, CALL_TIMEOUT_MS);
    if (response === undefined) this.#evictCollector(collector);
    return response?.load;
  }

  /** Tells the other regions' collectors what has changed. */
  #sendSums(nowMs: number): void {
    const { directory, links, region } = this.#dependencies;
    const regions = new Set(
      directory.listAvailable().map((peer) => peer.region),
    );
    regions.delete(region);
    for (const other of regions) {
      const peer = this.#chooseCollector(other);
      if (peer === undefined) continue;
      const { sums, ageMs } = this.#collector.listUnshared(peer.vmId, nowMs);
      const message: LoadReport = { kind: "report_load", sums, ageMs };
      // It counts as told before it responds, so that no call waits for one.
      this.#collector.recordShared(peer.vmId, sums);
      void links.callAddress(peer, message, CALL_TIMEOUT_MS)
        .then((response) => {
          if (response !== undefined) return;
          this.#collector.recordUnshared(peer.vmId);
          this.#evictCollector(peer);
        });
    }
  }

  /** Chooses a region's collector; undefined if the region has none. */
  #chooseCollector(region: string): PeerInfo | undefined {
    const { directory } = this.#dependencies;
    const nowMs = performance.now();
    return directory.sortHomes(COLLECTOR_KEY, { kind: "report_load" }).find((
      peer,
    ) =>
      peer.region === region &&
      (this.#leftOutUntilMs.get(peer.vmId) ?? 0) <= nowMs
    );
  }

  #evictCollector({ vmId }: PeerInfo): void {
    this.#leftOutUntilMs.set(vmId, performance.now() + LEFT_OUT_MS);
  }

  #recordCollector(vmId: string): void {
    if (vmId === this.#collectorId) return;
    const { log } = this.#dependencies;
    log.write(EVENTS.LoadCollectorChanged, {
      collector: vmId,
      before: this.#collectorId,
    } as never);
    this.#collectorId = vmId;
    this.#toldWanted = "";
  }
}
