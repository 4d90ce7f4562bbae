/**
 * Reports VMs with disks that are to be emptied as empty: no process of the
 * system keeps anything there.
 *
 * Every such VM follows the requests. The VM that is meant reports at once; the
 * others step in one after another, should it be out of reach.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { computeHash } from "@camphorlock/scheduler/hash";
import type { GatewayLog } from "../log.ts";
import type { ObjectStore, StoredChange, StoredObject } from "../ports.ts";
import type { FollowedObjects } from "../store/follower.ts";

/** Pause of the others before they report for a VM. */
const OTHERS_WAIT_MS = 1_500;
/** Spreads the others, so that one of them reports first. */
const OTHERS_SPREAD_MS = 1_000;
const RETRY_MS = 300;

/** The state of a VM that is to be emptied. */
export type RetirementState = "requested" | "emptying" | "emptied";

/** Translates the states of retirements. */
export interface RetirementCodec {
  decodeState(status: unknown): RetirementState;
  encodeState(state: RetirementState): unknown;
}

/** What the reporter works with. */
export interface RetirementReporterParts {
  readonly vmId: string;
  readonly store: ObjectStore;
  readonly codec: RetirementCodec;
  readonly log: GatewayLog;
}

/** Reports emptied VMs. */
export class RetirementReporter implements FollowedObjects {
  readonly #parts: RetirementReporterParts;
  /** VMs that are to be emptied and aren't reported as emptied. */
  readonly #open = new Set<string>();

  constructor(parts: RetirementReporterParts) {
    this.#parts = parts;
  }

  setAll(objects: readonly StoredObject[]): void {
    this.#open.clear();
    for (const object of objects) this.#handle(object);
  }

  applyChange({ object, isRemoved }: StoredChange): void {
    if (isRemoved) this.#open.delete(object.name);
    else this.#handle(object);
  }

  #handle({ name, status }: StoredObject): void {
    if (this.#parts.codec.decodeState(status) === "emptied") {
      this.#open.delete(name);
      return;
    }
    if (this.#open.has(name)) return;
    this.#open.add(name);
    setTimeout(() => void this.#saveState(name), this.#computeWaitMs(name));
  }

  #computeWaitMs(name: string): number {
    const { vmId } = this.#parts;
    if (name === vmId) return 0;
    return OTHERS_WAIT_MS + computeHash(`${vmId}|${name}`) % OTHERS_SPREAD_MS;
  }

  async #saveState(name: string): Promise<void> {
    const { store, codec, log } = this.#parts;
    while (this.#open.has(name)) {
      const value = codec.encodeState("emptied");
      const written = await store.updateStatus("retirements", { name, value });
      if (written.isOk()) {
        this.#open.delete(name);
        log.write(EVENTS.RetirementUpdated, {
          retired: name,
          state: "emptied",
        });
        return;
      }
      if (written.error.kind === "absent") return;
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }
}
