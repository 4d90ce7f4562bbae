/**
 * Carries out requests to empty a VM's disk, and reports their progress.
 *
 * The disk's own process empties it and reports that. A VM without a registered
 * disk holds no turns, so any other disk's process reports it as emptied; they
 * do so one after another.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { computeHash } from "@camphorlock/scheduler/hash";
import type { DiskInfo } from "@camphorlock/turns";
import type { GatewayLog } from "../log.ts";
import type { ObjectStore, StoredChange, StoredObject } from "../ports.ts";
import type { WatchListener } from "../store/store_watcher.ts";

/** Delay before another VM reports for one that has no disk of turns. */
const FALLBACK_DELAY_MS = 1_500;
/** Spreads the other VMs' reports, so that one of them comes first. */
const FALLBACK_JITTER_MS = 1_000;
const RETRY_DELAY_MS = 300;
/** How often the emptying of the own disk is checked. */
const CHECK_DELAY_MS = 50;
/** How often another VM's entry is read again. */
const OTHER_CHECK_DELAY_MS = 2_000;

/** The state of a VM that is to be emptied. */
export type RetirementState = "requested" | "emptying" | "emptied";

/** Encodes and decodes the states of retirements. */
export interface RetirementCodec {
  decodeState(status: unknown): RetirementState;
  encodeState(state: RetirementState): unknown;
}

/** The disk of this VM. */
export interface RetiringDisk {
  /** Begins to empty the disk. */
  startRetirement(): void;
  /** Whether its turns are elsewhere and its entry is removed. */
  readonly isEmptied: boolean;
}

/** Dependencies of the reporter. */
export interface RetirementReporterDependencies {
  readonly vmId: string;
  readonly store: ObjectStore;
  readonly codec: RetirementCodec;
  readonly log: GatewayLog;
  /** Undefined when this VM has no disk. */
  readonly disk: RetiringDisk | undefined;
  /** Reads the registered disks; undefined when the store is away. */
  readonly listDisks: () => Promise<readonly DiskInfo[] | undefined>;
}

/** Empties disks on request and reports it. */
export class RetirementReporter implements WatchListener {
  readonly #dependencies: RetirementReporterDependencies;
  /** VMs that are to be emptied and haven't been reported as emptied. */
  readonly #pending = new Set<string>();

  constructor(dependencies: RetirementReporterDependencies) {
    this.#dependencies = dependencies;
  }

  setAll(objects: readonly StoredObject[]): void {
    const listed = new Set(objects.map(({ name }) => name));
    for (const name of this.#pending) {
      if (!listed.has(name)) this.#pending.delete(name);
    }
    for (const object of objects) this.#handle(object);
  }

  applyChange({ object, isRemoved }: StoredChange): void {
    if (isRemoved) this.#pending.delete(object.name);
    else this.#handle(object);
  }

  #handle({ name, status }: StoredObject): void {
    const { codec, vmId } = this.#dependencies;
    if (codec.decodeState(status) === "emptied") {
      this.#pending.delete(name);
      return;
    }
    if (this.#pending.has(name)) return;
    this.#pending.add(name);
    void (name === vmId ? this.#handleOwn(name) : this.#handleOther(name));
  }

  async #handleOwn(name: string): Promise<void> {
    const { disk } = this.#dependencies;
    if (disk !== undefined) {
      disk.startRetirement();
      void this.#saveState(name, "emptying");
      while (!disk.isEmptied) {
        if (!this.#pending.has(name)) return;
        await waitFor(CHECK_DELAY_MS);
      }
    }
    await this.#reportEmptied(name);
  }

  async #handleOther(name: string): Promise<void> {
    const { vmId, listDisks } = this.#dependencies;
    await waitFor(
      FALLBACK_DELAY_MS + computeHash(`${vmId}|${name}`) % FALLBACK_JITTER_MS,
    );
    while (this.#pending.has(name)) {
      const disks = await listDisks();
      if (disks?.every((disk) => disk.vmId !== name)) {
        return await this.#reportEmptied(name);
      }
      await waitFor(OTHER_CHECK_DELAY_MS);
    }
  }

  async #reportEmptied(name: string): Promise<void> {
    while (this.#pending.has(name)) {
      if (await this.#saveState(name, "emptied")) {
        this.#pending.delete(name);
        return;
      }
      await waitFor(RETRY_DELAY_MS);
    }
  }

  /** Writes a state; true if it's written or the request is gone. */
  async #saveState(name: string, state: RetirementState): Promise<boolean> {
    const { store, codec, log } = this.#dependencies;
    const value = codec.encodeState(state);
    const written = await store.updateStatus("retirements", { name, value });
    if (written.isErr()) return written.error.kind === "absent";
    log.write(EVENTS.RetirementUpdated, { retired: name, state });
    return true;
  }
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
