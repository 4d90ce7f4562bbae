/**
 * The node that dispatches for a target: rendezvous hashing over the living
 * nodes nearest to it, so that few targets move when a node comes or goes.
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

/** Where a target is. */
export interface TargetPlace {
  readonly targetId: TargetId;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
}

/** Chooses dispatchers and remembers them while the view stays the same. */
export class DispatcherChooser {
  #view: MembershipView | undefined;
  #byRegion = new Map<Region, readonly NodeView[]>();
  #chosen = new Map<TargetId, VmId>();

  /** Chooses the dispatcher of a target. */
  choose(target: TargetPlace, view: MembershipView): VmId {
    if (view !== this.#view) this.#setView(view);
    const known = this.#chosen.get(target.targetId);
    if (known !== undefined) return known;
    const chosen = chooseDispatcher(target, {
      self: view.self,
      nodes: this.#listNear(target.region),
    });
    this.#chosen.set(target.targetId, chosen);
    return chosen;
  }

  #setView(view: MembershipView): void {
    const before = this.#view;
    this.#view = view;
    if (before !== undefined && isSameLiving(before, view)) return;
    this.#chosen = new Map();
    this.#byRegion = new Map();
  }

  #listNear(region: Region): readonly NodeView[] {
    const known = this.#byRegion.get(region);
    if (known !== undefined) return known;
    const nodes = this.#view?.nodes ?? [];
    const alive = nodes.filter((each) => each.state === "alive");
    const near = alive.filter((each) => each.spec.region === region);
    const list = near.length > 0 ? near : alive;
    this.#byRegion.set(region, list);
    return list;
  }
}

/** Chooses the dispatcher of a target among nodes. */
export function chooseDispatcher(
  target: TargetPlace,
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

function isSameLiving(left: MembershipView, right: MembershipView): boolean {
  if (left.nodes.length !== right.nodes.length) return false;
  return left.nodes.every((each, index) => {
    const other = right.nodes[index];
    return other !== undefined && other.spec.vmId === each.spec.vmId &&
      (other.state === "alive") === (each.state === "alive");
  });
}
