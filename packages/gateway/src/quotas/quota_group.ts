/**
 * The group of gateways as the quotas see it: which of them is the home of a
 * tenant, and how this gateway stands in it. Results are kept until the
 * directory changes, so that a request doesn't rank all gateways.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";
import type { GatewayLog } from "../log.ts";
import { BoundedMap } from "../model/bounded_map.ts";
import type { QuotaBounds } from "../ports.ts";
import { GroupStanding, type GroupView } from "./home_standing.ts";
import type { HomeStanding } from "./quota_bucket.ts";

const KIND = "take_credits";
/** Twice the tenants of the largest installation. */
const MAX_TENANTS = 20_000;
/**
 * A gateway that was lost for this long no longer counts as cut off. Until then
 * its part of the quotas isn't granted here.
 */
const LOST_MS = 600_000;

/** Dependencies of the view. */
export interface QuotaGroupDependencies {
  readonly vmId: string;
  readonly directory: PeerDirectory;
  readonly log: GatewayLog;
  readonly bounds: QuotaBounds;
}

interface TenantHomes {
  readonly revision: number;
  /** The first two gateways by rank, this one possibly among them. */
  readonly homes: readonly PeerInfo[];
}

/** One gateway's view of the group. */
export class QuotaGroup {
  readonly #dependencies: QuotaGroupDependencies;
  readonly #standing: GroupStanding;
  readonly #homes = new BoundedMap<string, TenantHomes>(MAX_TENANTS);
  #revision = -1;
  #view: GroupView = {
    candidates: new Set(),
    isLeaving: () => false,
    reachable: 1,
    members: 1,
  };

  constructor(dependencies: QuotaGroupDependencies, nowMs: number) {
    this.#dependencies = dependencies;
    const { vmId, bounds: { windowMs } } = dependencies;
    this.#standing = new GroupStanding({ vmId, windowMs }, nowMs);
  }

  /** Number of gateways, with those of older builds, which hold no quota. */
  get members(): number {
    this.#updateView();
    return this.#view.members;
  }

  /** Chooses the home of a tenant. */
  chooseHome(tenant: string): PeerInfo {
    const [home] = this.#findHomes(tenant);
    const { directory } = this.#dependencies;
    return home ??
      directory.chooseHomeIn(undefined, buildKey(tenant), { kind: KIND });
  }

  /**
   * Chooses the gateway that decided until this one started: it knows what was
   * granted. Undefined once this one knows that the other has stopped.
   */
  chooseDeputy(tenant: string, nowMs: number): PeerInfo | undefined {
    this.update(nowMs);
    if (!this.#standing.isStarting(nowMs)) return undefined;
    const { vmId } = this.#dependencies;
    return this.#findHomes(tenant).find((home) => home.vmId !== vmId);
  }

  /** Computes how far this gateway may decide on a tenant's quota. */
  computeStanding(tenant: string, nowMs: number): HomeStanding {
    this.update(nowMs);
    return this.#standing.compute(buildKey(tenant), nowMs);
  }

  /** Records the present state of the directory. */
  update(nowMs: number): void {
    this.#updateView();
    const { reachable, members } = this.#view;
    if (!this.#standing.record(this.#view, nowMs)) return;
    const { log } = this.#dependencies;
    log.write(EVENTS.QuotaShareChanged, {
      reachable,
      gateways: members,
      share: Number(this.#standing.computeShare(nowMs).toFixed(3)),
    });
  }

  #updateView(): void {
    const { directory } = this.#dependencies;
    if (this.#revision === directory.revision) return;
    this.#revision = directory.revision;
    const candidates = directory.listAvailable({ kind: KIND });
    this.#view = {
      ...directory.countMembers(performance.now() - LOST_MS),
      candidates: new Set(candidates.map(({ vmId }) => vmId)),
      isLeaving: (vmId) => directory.find(vmId)?.isLeaving ?? false,
    };
  }

  #findHomes(tenant: string): readonly PeerInfo[] {
    const { directory } = this.#dependencies;
    const known = this.#homes.get(tenant);
    if (known?.revision === directory.revision) return known.homes;
    const homes = directory.sortHomes(buildKey(tenant), { kind: KIND })
      .slice(0, 2);
    this.#homes.set(tenant, { revision: directory.revision, homes });
    return homes;
  }
}

/** Tenants' homes are independent of the homes of programs of that name. */
function buildKey(tenant: string): string {
  return `quota ${tenant}`;
}
