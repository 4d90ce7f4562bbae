/**
 * Which shared prompt parts the requests of a service have, and at how many
 * targets the requests of one part meet.
 *
 * A part that is read by few targets stays cached there; as many targets are
 * needed as its share of the requests. Each gateway sees a sample of the
 * requests, so that all of them compute about the same share.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import { DecayedRatio } from "./decayed_ratio.ts";

/** Parts that are tracked per service. */
const MAX_PARTS = 256;
const HALF_LIFE_MS = 10_000;
/** Room beside the share of the requests, since they don't come evenly. */
const SPARE_FACTOR = 1.25;
/** With one target only, its loss would lose the part everywhere. */
const MIN_TARGETS = 2;
/** A choice looks at this many of them. */
const MAX_TARGETS = 16;

interface ServiceDemand {
  readonly parts: BoundedMap<string, DecayedRatio>;
  readonly all: DecayedRatio;
}

/** The demand for shared parts, as this gateway sees it. */
export class PartDemand {
  readonly #services = new BoundedMap<string, ServiceDemand>(MAX_PARTS);

  /** Records a request with a shared part. */
  record(service: string, partId: string, nowMs: number): void {
    const demand = this.#services.get(service) ?? {
      parts: new BoundedMap(MAX_PARTS),
      all: new DecayedRatio(HALF_LIFE_MS),
    };
    this.#services.set(service, demand);
    const part = demand.parts.get(partId) ?? new DecayedRatio(HALF_LIFE_MS);
    part.add(1, 1, nowMs);
    demand.all.add(1, 1, nowMs);
    demand.parts.set(partId, part);
  }

  /** Computes at how many of `targets` the requests of a part meet. */
  computeTargets(
    { service, partId }: { service: string; partId: string },
    targets: number,
    nowMs: number,
  ): number {
    const demand = this.#services.get(service);
    const part = demand?.parts.get(partId)?.computeSums(nowMs).above ?? 0;
    const all = demand?.all.computeSums(nowMs).above ?? 0;
    const needed = all === 0 ? 0 : part / all * targets * SPARE_FACTOR;
    return Math.min(
      targets,
      MAX_TARGETS,
      Math.max(MIN_TARGETS, Math.ceil(needed)),
    );
  }
}
