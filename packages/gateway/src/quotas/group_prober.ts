/**
 * Probes other gateways, so that each one soon knows which of them it's in
 * contact with: a home grants only its part of a quota while others are cut off.
 *
 * In calm it probes four gateways a second, whatever their number. After one was
 * lost or has returned, it probes all of them, since the others of a lost group
 * would be noticed one by one otherwise.
 */
import type { PeerDirectory, PeerInfo } from "../decisions/peer_directory.ts";

/** Interval at which `run` is called. */
export const PROBE_TICK_MS = 50;
const PROBE_INTERVAL_MS = 250;
/** Time in which all gateways are probed after a change. */
const SWEEP_MS = 1_000;
/** Changes that follow within this time share a sweep. */
const MIN_SWEEP_GAP_MS = 250;

/** Dependencies of the prober. */
export interface GroupProberDependencies {
  readonly directory: Pick<PeerDirectory, "list" | "listSuspected">;
  /** Says hello to gateways; records whether they respond. */
  readonly probe: (peers: readonly PeerInfo[]) => Promise<void>;
  /** Tests pass a seeded source. */
  readonly takeRandom?: () => number;
}

/** The probes of one gateway. */
export class GroupProber {
  readonly #dependencies: GroupProberDependencies;
  #suspected = new Set<string>();
  #known = 0;
  /** Gateways that the running sweep still has to probe. */
  #sweep: PeerInfo[] = [];
  #perTick = 0;
  #sweepEndedAtMs = Number.NEGATIVE_INFINITY;
  #isSweepNeeded = true;
  #probedAtMs = Number.NEGATIVE_INFINITY;

  constructor(dependencies: GroupProberDependencies) {
    this.#dependencies = dependencies;
  }

  /** Probes what is due. */
  run(nowMs: number): void {
    this.#checkChange();
    const isIdle = this.#sweep.length === 0;
    if (isIdle && this.#isSweepNeeded && this.#canSweep(nowMs)) {
      this.#startSweep();
    }
    if (this.#sweep.length > 0) {
      void this.#dependencies.probe(this.#sweep.splice(0, this.#perTick));
      if (this.#sweep.length === 0) this.#sweepEndedAtMs = nowMs;
      return;
    }
    if (nowMs - this.#probedAtMs < PROBE_INTERVAL_MS) return;
    this.#probedAtMs = nowMs;
    const { directory, probe, takeRandom = Math.random } = this.#dependencies;
    const peers = directory.list();
    const peer = peers[Math.floor(takeRandom() * peers.length)];
    if (peer !== undefined) void probe([peer]);
  }

  #canSweep(nowMs: number): boolean {
    return nowMs - this.#sweepEndedAtMs >= MIN_SWEEP_GAP_MS;
  }

  /** A gateway that stays lost, or one lost again, starts no further sweep. */
  #checkChange(): void {
    const { directory } = this.#dependencies;
    const suspected = new Set(
      directory.listSuspected().map((peer) => peer.vmId),
    );
    const known = directory.list().length;
    const isSame = suspected.size === this.#suspected.size &&
      [...suspected].every((vmId) => this.#suspected.has(vmId));
    if (!isSame || known !== this.#known) this.#isSweepNeeded = true;
    this.#suspected = suspected;
    this.#known = known;
  }

  #startSweep(): void {
    this.#isSweepNeeded = false;
    this.#sweep = this.#dependencies.directory.list();
    const ticks = SWEEP_MS / PROBE_TICK_MS;
    this.#perTick = Math.max(1, Math.ceil(this.#sweep.length / ticks));
  }
}
