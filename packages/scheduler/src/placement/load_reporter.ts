/**
 * Reports target loads to other nodes, within a byte budget.
 *
 * In a small fleet every node receives the load of every target. In a large one
 * a node places most work on a subset of the targets of its region, and a
 * target's dispatcher reports its load only to the nodes that watch it. A hash
 * determines which node watches which target, so nodes don't have to subscribe.
 * Responses to slot requests carry loads too, outside this budget.
 */
import type {
  MembershipView,
  Region,
  TargetId,
  TargetLoad,
  TargetSpec,
  VmId,
} from "@camphorlock/types";
import { computeFraction } from "../hash.ts";

/** Targets of a group (same model and region) that a node watches, on average. */
export const WATCHED_TARGETS = 16;
/** Largest fleet in which every node receives every load. */
const SMALL_FLEET_NODES = 16;
/** Size of an encoded load, with its share of the message frame. */
export const LOAD_BYTES = 96;
const BYTES_PER_SECOND = 6_000;
const MAX_BURST_BYTES = 6_000;

/** The loads to send to one node. */
export interface LoadMessage {
  readonly to: VmId;
  readonly loads: readonly TargetLoad[];
}

/** Whether a node watches a target that belongs to a group of `groupSize`. */
export function isWatched(
  vmId: VmId,
  targetId: TargetId,
  groupSize: number,
): boolean {
  if (groupSize <= WATCHED_TARGETS) return true;
  const share = WATCHED_TARGETS / groupSize;
  return computeFraction(`${vmId}|${targetId}|watch`) < share;
}

/** The node that reports loads. */
export interface LoadReporterOptions {
  readonly self: VmId;
  readonly region: Region;
}

/**
 * Chooses which loads to send to which nodes in each period. A token bucket
 * limits the bytes; nodes are served in round-robin order.
 */
export class LoadReporter {
  readonly #options: LoadReporterOptions;
  #view: MembershipView | undefined;
  #targets: readonly TargetSpec[] = [];
  #watchers = new Map<TargetId, readonly VmId[]>();
  #groupSizes = new Map<string, number>();
  #byId = new Map<TargetId, TargetSpec>();
  #availableBytes = MAX_BURST_BYTES;
  #budgetAtMs = 0;
  #nextNode = 0;

  constructor(options: LoadReporterOptions) {
    this.#options = options;
  }

  /** Updates the fleet's nodes and targets. */
  update(view: MembershipView, targets: readonly TargetSpec[]): void {
    if (view === this.#view && targets === this.#targets) return;
    if (targets !== this.#targets) this.#setTargets(targets);
    this.#view = view;
    this.#targets = targets;
    this.#watchers = new Map();
  }

  /** Takes the messages of this period that the byte budget allows. */
  takeMessages(loads: readonly TargetLoad[], nowMs: number): LoadMessage[] {
    const byNode = this.#splitByNode(loads);
    const nodes = [...byNode.keys()];
    if (this.#isSmallFleet()) return nodes.map((to) => ({ to, loads }));
    this.#updateBudget(nowMs);
    const messages: LoadMessage[] = [];
    for (let count = 0; count < nodes.length; count += 1) {
      const to = nodes[this.#nextNode % nodes.length] ?? "";
      const nodeLoads = byNode.get(to) ?? [];
      const bytes = nodeLoads.length * LOAD_BYTES;
      if (bytes > this.#availableBytes) break;
      this.#availableBytes -= bytes;
      this.#nextNode += 1;
      messages.push({ to, loads: nodeLoads });
    }
    return messages;
  }

  #isSmallFleet(): boolean {
    return (this.#view?.nodes.length ?? 0) <= SMALL_FLEET_NODES;
  }

  #updateBudget(nowMs: number): void {
    const earned = (nowMs - this.#budgetAtMs) * BYTES_PER_SECOND / 1_000;
    this.#budgetAtMs = nowMs;
    this.#availableBytes = Math.min(
      MAX_BURST_BYTES,
      this.#availableBytes + earned,
    );
  }

  #splitByNode(loads: readonly TargetLoad[]): Map<VmId, TargetLoad[]> {
    const byNode = new Map<VmId, TargetLoad[]>();
    for (const load of loads) {
      for (const vmId of this.#listWatchers(load.targetId)) {
        const group = byNode.get(vmId);
        if (group === undefined) byNode.set(vmId, [load]);
        else group.push(load);
      }
    }
    return byNode;
  }

  #listWatchers(targetId: TargetId): readonly VmId[] {
    const cached = this.#watchers.get(targetId);
    if (cached !== undefined) return cached;
    const watchers = this.#chooseWatchers(targetId);
    this.#watchers.set(targetId, watchers);
    return watchers;
  }

  #chooseWatchers(targetId: TargetId): readonly VmId[] {
    const target = this.#byId.get(targetId);
    const { self } = this.#options;
    const others = (this.#view?.nodes ?? []).filter((each) =>
      each.state === "alive" && each.spec.vmId !== self
    );
    if (this.#isSmallFleet()) return others.map((each) => each.spec.vmId);
    const region = target?.region ?? this.#options.region;
    const groupSize = this.#getGroupSize(target);
    return others.filter((each) =>
      each.spec.region === region &&
      isWatched(each.spec.vmId, targetId, groupSize)
    ).map((each) => each.spec.vmId);
  }

  /** Gets the number of targets of the same region and first served name. */
  #getGroupSize(target: TargetSpec | undefined): number {
    if (target === undefined) return 0;
    return this.#groupSizes.get(formatGroupKey(target)) ?? 0;
  }

  #setTargets(targets: readonly TargetSpec[]): void {
    this.#byId = new Map(targets.map((each) => [each.targetId, each]));
    this.#groupSizes = new Map();
    for (const target of targets) {
      const key = formatGroupKey(target);
      this.#groupSizes.set(key, (this.#groupSizes.get(key) ?? 0) + 1);
    }
  }
}

function formatGroupKey(target: TargetSpec): string {
  return `${target.region}/${target.serves[0] ?? ""}`;
}
