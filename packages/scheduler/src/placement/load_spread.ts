/**
 * The spread of target loads between nodes, within a budget of bytes.
 *
 * In a small fleet every node hears of every target. In a large one a node
 * places most work on a subset of the targets of its region, and a target's
 * dispatcher sends its load only to the nodes that have it in their subset. Who
 * watches what follows from a hash, so that nobody has to be told. The answers
 * to slot requests carry loads, too, beyond this budget.
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

/** Targets of one model and region that a node watches, on average. */
export const WATCHED_TARGETS = 16;
/** Nodes of the fleet up to which everyone hears of everything. */
const SMALL_FLEET_NODES = 16;
/** Size of an encoded load, with its part of the message's frame. */
export const LOAD_BYTES = 96;
const BYTES_PER_SECOND = 6_000;
const MOST_SAVED_BYTES = 6_000;

/** Loads for one node. */
export interface LoadMessage {
  readonly to: VmId;
  readonly loads: readonly TargetLoad[];
}

/** Whether a node watches a target, given how many there are beside it. */
export function isWatched(
  vmId: VmId,
  targetId: TargetId,
  nearTargets: number,
): boolean {
  if (nearTargets <= WATCHED_TARGETS) return true;
  const share = WATCHED_TARGETS / nearTargets;
  return computeFraction(`${vmId}|${targetId}|watch`) < share;
}

/** What the spread is built from. */
export interface LoadSpreadOptions {
  readonly self: VmId;
  readonly region: Region;
}

/** Chooses what to send to whom in each period. */
export class LoadSpread {
  readonly #options: LoadSpreadOptions;
  #view: MembershipView | undefined;
  #targets: readonly TargetSpec[] = [];
  #watchers = new Map<TargetId, readonly VmId[]>();
  #nearCounts = new Map<string, number>();
  #byId = new Map<TargetId, TargetSpec>();
  #savedBytes = MOST_SAVED_BYTES;
  #spentAtMs = 0;
  #next = 0;

  constructor(options: LoadSpreadOptions) {
    this.#options = options;
  }

  /** Sets the nodes and targets that there are. */
  update(view: MembershipView, targets: readonly TargetSpec[]): void {
    if (view === this.#view && targets === this.#targets) return;
    if (targets !== this.#targets) this.#setTargets(targets);
    this.#view = view;
    this.#targets = targets;
    this.#watchers = new Map();
  }

  /** Takes the messages of this period, in turn as the budget allows. */
  takeMessages(loads: readonly TargetLoad[], nowMs: number): LoadMessage[] {
    const byNode = this.#splitByNode(loads);
    const nodes = [...byNode.keys()];
    if (this.#isSmall()) return nodes.map((to) => ({ to, loads }));
    this.#addBudget(nowMs);
    const messages: LoadMessage[] = [];
    for (let count = 0; count < nodes.length; count += 1) {
      const to = nodes[this.#next % nodes.length] ?? "";
      const part = byNode.get(to) ?? [];
      const bytes = part.length * LOAD_BYTES;
      if (bytes > this.#savedBytes) break;
      this.#savedBytes -= bytes;
      this.#next += 1;
      messages.push({ to, loads: part });
    }
    return messages;
  }

  #isSmall(): boolean {
    return (this.#view?.nodes.length ?? 0) <= SMALL_FLEET_NODES;
  }

  #addBudget(nowMs: number): void {
    const earned = (nowMs - this.#spentAtMs) * BYTES_PER_SECOND / 1_000;
    this.#spentAtMs = nowMs;
    this.#savedBytes = Math.min(MOST_SAVED_BYTES, this.#savedBytes + earned);
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
    const known = this.#watchers.get(targetId);
    if (known !== undefined) return known;
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
    if (this.#isSmall()) return others.map((each) => each.spec.vmId);
    const region = target?.region ?? this.#options.region;
    const near = this.#countNear(target);
    return others.filter((each) =>
      each.spec.region === region &&
      isWatched(each.spec.vmId, targetId, near)
    ).map((each) => each.spec.vmId);
  }

  /** Counts the targets of the region that serve the target's first name. */
  #countNear(target: TargetSpec | undefined): number {
    if (target === undefined) return 0;
    return this.#nearCounts.get(formatGroup(target)) ?? 0;
  }

  #setTargets(targets: readonly TargetSpec[]): void {
    this.#byId = new Map(targets.map((each) => [each.targetId, each]));
    this.#nearCounts = new Map();
    for (const target of targets) {
      const key = formatGroup(target);
      this.#nearCounts.set(key, (this.#nearCounts.get(key) ?? 0) + 1);
    }
  }
}

function formatGroup(target: TargetSpec): string {
  return `${target.region}/${target.serves[0] ?? ""}`;
}
