/**
 * The targets by what they serve and by region, for bounded sampling.
 */
import type { Region, TargetId, TargetSpec } from "@camphorlock/types";

/** The targets that serve one model or service. */
export interface ServingTargets {
  readonly all: readonly TargetSpec[];
  /** Those of the node's own region. */
  readonly near: readonly TargetSpec[];
  readonly far: readonly TargetSpec[];
}

/** A way to leave targets out, computed once for each list. */
export type TargetFilter = (targets: readonly TargetSpec[]) => TargetSpec[];

const NONE: ServingTargets = { all: [], near: [], far: [] };

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

  /** Rebuilds the index when the list isn't the one it was built from. */
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

  /** Gets the targets that serve a name and aren't leaving. */
  getServing(kind: TargetSpec["kind"], name: string): ServingTargets {
    if (this.#serving.size === 0) this.#buildServing();
    return this.#serving.get(formatKey(kind, name)) ?? NONE;
  }

  /** Gets the serving targets that a filter leaves, cached by the filter's key. */
  getFiltered(
    serving: ServingTargets,
    key: string,
    filter: TargetFilter,
  ): ServingTargets {
    const known = this.#filtered.get(key);
    if (known !== undefined) return known;
    const left = this.#split(filter(serving.all));
    this.#filtered.set(key, left);
    return left;
  }

  /** Forgets filtered lists, as when the rules have changed. */
  removeFiltered(): void {
    this.#filtered = new Map();
  }

  #buildServing(): void {
    const lists = new Map<string, TargetSpec[]>();
    for (const target of this.#targets) {
      if (target.leaving) continue;
      for (const name of target.serves) addTo(lists, target, name);
    }
    for (const [key, all] of lists) {
      this.#serving.set(key, this.#split(all));
    }
  }

  #split(all: readonly TargetSpec[]): ServingTargets {
    const near = all.filter((each) => each.region === this.#region);
    const far = all.filter((each) => each.region !== this.#region);
    return { all, near, far };
  }
}

function addTo(
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
