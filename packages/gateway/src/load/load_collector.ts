/**
 * Sums the reports of a region's gateways, and the sums of other regions.
 *
 * Made for some 70 gateways a region that report some ten targets each, five
 * times a second, on a quarter of a core: the work for a report is proportional
 * to its entries and to the targets that its sender uses. No call, no clock.
 */
import type { LoadAnswer, TargetReport, TargetSum } from "./load_messages.ts";
import { mergeSums } from "./merge_sums.ts";
import { TargetSums } from "./target_sums.ts";

/** Older reports and sums of other regions count no more. */
export const REPORT_LIFE_MS = 1_000;
/** Gateways whose reports are kept; more than a region has. */
const MAX_SENDERS = 1_024;
/** Targets of one report that count, and targets that one answer covers. */
const MAX_TARGETS = 512;
/** Changed targets of one message to another region. */
const MAX_SHARED_TARGETS = 256;
/** Idle targets are forgotten after this time. */
const IDLE_LIFE_MS = 60_000;

interface SenderReport {
  readonly targets: ReadonlyMap<string, TargetReport>;
  readonly wanted: readonly string[] | undefined;
  readonly atMs: number;
}

interface RegionSums {
  readonly targets: Map<string, TargetSum>;
  readonly madeAtMs: number;
  readonly atMs: number;
}

/** The reports and sums that one collector holds. */
export class LoadCollector {
  readonly #findMemory: (targetId: string) => number | undefined;
  /** In the order of their arrival. */
  readonly #reports = new Map<string, SenderReport>();
  readonly #sums = new Map<string, { sums: TargetSums; atMs: number }>();
  /** The sums of other regions, by the collector that sent them. */
  readonly #regions = new Map<string, RegionSums>();
  /** Changed targets that a collector of another region wasn't told. */
  readonly #unshared = new Map<string, Set<string>>();
  /** Sum of the arrival times of the reports. */
  #arrivalsMs = 0;

  constructor(findMemory: (targetId: string) => number | undefined) {
    this.#findMemory = findMemory;
  }

  /** Whether any gateway reports to this one. */
  isInUse(nowMs: number): boolean {
    this.#removeOld(nowMs);
    return this.#reports.size > 0;
  }

  /** Records a gateway's report and answers with the others' load. */
  answer(
    vmId: string,
    { targets, wanted }: {
      readonly targets: readonly TargetReport[];
      readonly wanted?: readonly string[];
    },
    nowMs: number,
  ): LoadAnswer {
    this.#removeOld(nowMs);
    const before = this.#remove(vmId);
    const report: SenderReport = {
      targets: new Map(
        targets.slice(0, MAX_TARGETS).map((each) => [each[0], each]),
      ),
      wanted: wanted?.slice(0, MAX_TARGETS) ?? before?.wanted,
      atMs: nowMs,
    };
    for (const each of report.targets.values()) this.#add(each, nowMs);
    this.#reports.set(vmId, report);
    this.#arrivalsMs += nowMs;
    if (this.#reports.size > MAX_SENDERS) {
      const [oldest] = this.#reports.keys();
      if (oldest !== undefined) this.#remove(oldest);
    }
    return {
      targets: (report.wanted ?? [])
        .map((id) => this.#build(id, nowMs, report.targets.get(id)))
        .filter((sum) => sum !== undefined),
      ageMs: Math.round(this.#computeAgeMs(nowMs)),
      needsWanted: report.wanted === undefined,
    };
  }

  /** Records the changed sums of another region's collector. */
  applySums(
    vmId: string,
    { sums, ageMs }: {
      readonly sums: readonly TargetSum[];
      readonly ageMs: number;
    },
    nowMs: number,
  ): void {
    this.#removeOld(nowMs);
    const targets = this.#regions.get(vmId)?.targets ?? new Map();
    for (const sum of sums) targets.set(sum[0], sum);
    this.#regions.set(vmId, { targets, madeAtMs: nowMs - ageMs, atMs: nowMs });
  }

  /** Lists the changed sums that the collector of another region lacks. */
  listUnshared(
    vmId: string,
    nowMs: number,
  ): { readonly sums: readonly TargetSum[]; readonly ageMs: number } {
    const unshared = this.#unshared.get(vmId) ?? new Set(this.#sums.keys());
    this.#unshared.set(vmId, unshared);
    const sums = [...unshared].slice(0, MAX_SHARED_TARGETS)
      .map((id) => this.#sums.get(id)?.sums.build(this.#findMemory(id), nowMs))
      .filter((sum) => sum !== undefined);
    return { sums, ageMs: Math.round(this.#computeReportAgeMs(nowMs)) };
  }

  /** Records that the collector of another region received sums. */
  recordShared(vmId: string, sums: readonly TargetSum[]): void {
    const unshared = this.#unshared.get(vmId);
    for (const [id] of sums) unshared?.delete(id);
  }

  /** Forgets a collector that didn't respond: the next one needs all sums. */
  recordUnshared(vmId: string): void {
    this.#unshared.delete(vmId);
  }

  /** Forgets targets that nobody uses. */
  removeUnused(nowMs: number): void {
    for (const [id, { sums, atMs }] of this.#sums) {
      if (sums.isBusy || nowMs - atMs < IDLE_LIFE_MS) continue;
      this.#sums.delete(id);
      for (const unshared of this.#unshared.values()) unshared.delete(id);
    }
  }

  #add(report: TargetReport, nowMs: number): void {
    const [id] = report;
    const { sums } = this.#sums.get(id) ?? { sums: new TargetSums(id) };
    sums.add(report, nowMs);
    this.#sums.set(id, { sums, atMs: nowMs });
    this.#recordChange(id);
  }

  #remove(vmId: string): SenderReport | undefined {
    const report = this.#reports.get(vmId);
    if (report === undefined) return undefined;
    this.#reports.delete(vmId);
    this.#arrivalsMs -= report.atMs;
    for (const [id, each] of report.targets) {
      this.#sums.get(id)?.sums.remove(each);
      this.#recordChange(id);
    }
    return report;
  }

  #recordChange(id: string): void {
    for (const unshared of this.#unshared.values()) unshared.add(id);
  }

  #build(
    id: string,
    nowMs: number,
    without: TargetReport | undefined,
  ): TargetSum | undefined {
    const own = this.#sums.get(id)?.sums
      .build(this.#findMemory(id), nowMs, without);
    let sum = own;
    for (const { targets } of this.#regions.values()) {
      const other = targets.get(id);
      if (other !== undefined) {
        sum = sum === undefined ? other : mergeSums(sum, other);
      }
    }
    return sum;
  }

  #removeOld(nowMs: number): void {
    for (const [vmId, { atMs }] of this.#reports) {
      if (nowMs - atMs < REPORT_LIFE_MS) break;
      this.#remove(vmId);
    }
    for (const [vmId, { atMs }] of this.#regions) {
      if (nowMs - atMs >= REPORT_LIFE_MS) this.#regions.delete(vmId);
    }
  }

  /** Mean age of the reports of this region. */
  #computeReportAgeMs(nowMs: number): number {
    const count = this.#reports.size;
    return count === 0 ? 0 : nowMs - this.#arrivalsMs / count;
  }

  /** The same, or the age of another region's sums if these are older. */
  #computeAgeMs(nowMs: number): number {
    let ageMs = this.#computeReportAgeMs(nowMs);
    for (const { madeAtMs } of this.#regions.values()) {
      ageMs = Math.max(ageMs, nowMs - madeAtMs);
    }
    return ageMs;
  }
}
