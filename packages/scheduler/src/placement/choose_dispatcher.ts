/**
 * Chooses the node that dispatches for a target, by rendezvous hashing over the
 * alive nodes of the target's region, or over all alive nodes if the region has
 * none. Few targets move when a node joins or leaves.
 */
import type {
  FailureDomain,
  MembershipView,
  NodeView,
  Region,
  TargetId,
  VmId,
} from "@camphorlock/types";
import { computeHash } from "../assignment/rendezvous.ts";

/** The location of a target. */
export interface TargetLocation {
  readonly targetId: TargetId;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
}

/** Chooses dispatchers and caches them until the set of alive nodes changes. */
export class DispatcherChooser {
  #view: MembershipView | undefined;
  #byRegion = new Map<Region, readonly NodeView[]>();
  #chosen = new Map<TargetId, VmId>();

  /** Chooses the dispatcher of a target. */
  choose(target: TargetLocation, view: MembershipView): VmId {
    if (view !== this.#view) this.#setView(view);
    const cached = this.#chosen.get(target.targetId);
    if (cached !== undefined) return cached;
    const chosen = chooseDispatcher(target, {
      self: view.self,
      nodes: this.#listCandidates(target.region),
    });
    this.#chosen.set(target.targetId, chosen);
    return chosen;
  }

  #setView(view: MembershipView): void {
    const previous = this.#view;
    this.#view = view;
    if (previous !== undefined && hasSameNodes(previous, view)) return;
    this.#chosen = new Map();
    this.#byRegion = new Map();
  }

  #listCandidates(region: Region): readonly NodeView[] {
    const cached = this.#byRegion.get(region);
    if (cached !== undefined) return cached;
    const nodes = this.#view?.nodes ?? [];
    const alive = nodes.filter((each) => each.state === "alive");
    const near = alive.filter((each) => each.spec.region === region);
    const candidates = near.length > 0 ? near : alive;
    this.#byRegion.set(region, candidates);
    return candidates;
  }
}

/** Chooses the node with the highest hash; `self` if there are no nodes. */
export function chooseDispatcher(
  target: TargetLocation,
  options: { readonly self: VmId; readonly nodes: readonly NodeView[] },
): VmId {
  let best = options.self;
  let bestScore = -1;
  for (const { spec } of options.nodes) {
    const score = computeHash(`${spec.vmId}|${target.targetId}`);
    if (score <= bestScore) continue;
    best = spec.vmId;
    bestScore = score;
  }
  return best;
}

function hasSameNodes(
  left: MembershipView,
  right: MembershipView,
): boolean {
  if (left.nodes.length !== right.nodes.length) return false;
  return left.nodes.every((each, index) => {
    const other = right.nodes[index];
    return other !== undefined && other.spec.vmId === each.spec.vmId &&
      (other.state === "alive") === (each.state === "alive");
  });
}
