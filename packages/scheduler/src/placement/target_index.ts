/**
 * An index of the targets by served name and by region, for bounded sampling.
 */
import type { Region, TargetId, TargetSpec } from "@camphorlock/types";

/** The targets that serve one model or service. */
export interface ServingTargets {
  readonly all: readonly TargetSpec[];
  /** The targets of the node's own region. */
  readonly near: readonly TargetSpec[];
  /** The targets of other regions. */
  readonly far: readonly TargetSpec[];
}

/** Filters targets; the result is cached until the targets or filters change. */
export type TargetFilter = (targets: readonly TargetSpec[]) => TargetSpec[];

const NO_TARGETS: ServingTargets = { all: [], near: [], far: [] };

/** An index of the configured targets. */
export class TargetIndex {
  readonly #region: Region;
  #targets: readonly TargetSpec[] = [];
  #byId = new Map<TargetId, TargetSpec>();
  #serving = new Map<string, ServingTargets>();
  #filtered = new Map<string, ServingTargets>();

  constructor(region: Region) {
    this.#region = region;
  }

  /** Rebuilds the index if `targets` isn't the list that it was built from. */
  update(targets: readonly TargetSpec[]): void {
    if (targets === this.#targets) return;
    this.#targets = targets;
    this.#byId = new Map(targets.map((each) => [each.targetId, each]));
    this.#serving = new Map();
    this.#filtered = new Map();
  }

  /** Finds a target. */
  find(targetId: TargetId): TargetSpec | undefined {
    return this.#byId.get(targetId);
  }

  /** Gets the targets that serve a name, without those that are leaving. */
  getServing(kind: TargetSpec["kind"], name: string): ServingTargets {
    if (this.#serving.size === 0) this.#buildServing();
    return this.#serving.get(formatKey(kind, name)) ?? NO_TARGETS;
  }

  /** Gets the serving targets that pass a filter, cached by `key`. */
  getFiltered(
    serving: ServingTargets,
    key: string,
    filter: TargetFilter,
  ): ServingTargets {
    const cached = this.#filtered.get(key);
    if (cached !== undefined) return cached;
    const filtered = this.#splitByRegion(filter(serving.all));
    this.#filtered.set(key, filtered);
    return filtered;
  }

  /** Clears the cached filtered lists, for example after a change of rules. */
  resetFiltered(): void {
    this.#filtered = new Map();
  }

  #buildServing(): void {
    const lists = new Map<string, TargetSpec[]>();
    for (const target of this.#targets) {
      if (target.leaving) continue;
      for (const name of target.serves) addToList(lists, target, name);
    }
    for (const [key, all] of lists) {
      this.#serving.set(key, this.#splitByRegion(all));
    }
  }

  #splitByRegion(all: readonly TargetSpec[]): ServingTargets {
    const near = all.filter((each) => each.region === this.#region);
    const far = all.filter((each) => each.region !== this.#region);
    return { all, near, far };
  }
}

function addToList(
  lists: Map<string, TargetSpec[]>,
  target: TargetSpec,
  name: string,
): void {
  const key = formatKey(target.kind, name);
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [target]);
  else list.push(target);
}

function formatKey(kind: TargetSpec["kind"], name: string): string {
  return `${kind}/${name}`;
}
