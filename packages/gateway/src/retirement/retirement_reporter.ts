/**
 * Reports VMs whose disks are to be emptied as emptied without further work,
 * since no process of the system stores data there.
 *
 * Every VM with a disk watches the retirement requests. The VM to be emptied
 * reports immediately. The others report for it after a delay, one after
 * another, in case it's unreachable.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { computeHash } from "@camphorlock/scheduler/hash";
import type { GatewayLog } from "../log.ts";
import type { ObjectStore, StoredChange, StoredObject } from "../ports.ts";
import type { WatchListener } from "../store/store_watcher.ts";

/** Delay before another VM reports for the one to be emptied. */
const FALLBACK_DELAY_MS = 1_500;
/** Spreads the other VMs' reports, so that one of them comes first. */
const FALLBACK_JITTER_MS = 1_000;
const RETRY_DELAY_MS = 300;

/** The state of a VM that is to be emptied. */
export type RetirementState = "requested" | "emptying" | "emptied";

/** Encodes and decodes the states of retirements. */
export interface RetirementCodec {
  decodeState(status: unknown): RetirementState;
  encodeState(state: RetirementState): unknown;
}

/** Dependencies of the reporter. */
export interface RetirementReporterDependencies {
  readonly vmId: string;
  readonly store: ObjectStore;
  readonly codec: RetirementCodec;
  readonly log: GatewayLog;
}

/** Reports VMs that are to be emptied as emptied. */
export class RetirementReporter implements WatchListener {
  readonly #dependencies: RetirementReporterDependencies;
  /** VMs that are to be emptied and haven't been reported as emptied. */
  readonly #pending = new Set<string>();

  constructor(dependencies: RetirementReporterDependencies) {
    this.#dependencies = dependencies;
  }

  setAll(objects: readonly StoredObject[]): void {
    this.#pending.clear();
    for (const object of objects) this.#handle(object);
  }

  applyChange({ object, isRemoved }: StoredChange): void {
    if (isRemoved) this.#pending.delete(object.name);
    else this.#handle(object);
  }

  #handle({ name, status }: StoredObject): void {
    if (this.#dependencies.codec.decodeState(status) === "emptied") {
      this.#pending.delete(name);
      return;
    }
    if (this.#pending.has(name)) return;
    this.#pending.add(name);
    setTimeout(() => void this.#saveState(name), this.#computeDelayMs(name));
  }

  #computeDelayMs(name: string): number {
    const { vmId } = this.#dependencies;
    if (name === vmId) return 0;
    return FALLBACK_DELAY_MS +
      computeHash(`${vmId}|${name}`) % FALLBACK_JITTER_MS;
  }

  async #saveState(name: string): Promise<void> {
    const { store, codec, log } = this.#dependencies;
    while (this.#pending.has(name)) {
      const value = codec.encodeState("emptied");
      const written = await store.updateStatus("retirements", { name, value });
      if (written.isOk()) {
        this.#pending.delete(name);
        log.write(EVENTS.RetirementUpdated, {
          retired: name,
          state: "emptied",
        });
        return;
      }
      if (written.error.kind === "absent") return;
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }
}
