/**
 * The processes that keep facts, as they are registered in the store. A list
 * lasts for a while, since VMs with disks come and go rarely; it's read again
 * sooner after a start, and while there is none.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { DiskInfo } from "@camphorlock/turns";
import type { GatewayLog } from "../log.ts";

/** Each read of the list has a price. */
const UPDATE_MS = 30_000;
/** While VMs that start together with this one may still be missing. */
const EARLY_UPDATE_MS = 5_000;
const EARLY_UPDATES = 3;
/** While the store doesn't respond. */
const RETRY_MS = 1_000;

/** The known keepers. */
export class FactKeepers {
  readonly #loadDisks: () => Promise<readonly DiskInfo[] | undefined>;
  readonly #gatewayLog: GatewayLog;
  #keepers: readonly DiskInfo[] = [];
  #dueAtMs = 0;
  #updates = 0;
  #loading: Promise<void> | undefined;

  /** `loadDisks` resolves to undefined when the store is away. */
  constructor(
    loadDisks: () => Promise<readonly DiskInfo[] | undefined>,
    log: GatewayLog,
  ) {
    this.#loadDisks = loadDisks;
    this.#gatewayLog = log;
  }

  list(): readonly DiskInfo[] {
    return this.#keepers;
  }

  /** Reads the list again if it's due; resolves when that has ended. */
  async update(nowMs: number): Promise<void> {
    if (nowMs >= this.#dueAtMs) {
      this.#loading ??= this.#load().finally(() => this.#loading = undefined);
    }
    await this.#loading;
  }

  async #load(): Promise<void> {
    const listed = await this.#loadDisks();
    this.#log(listed ?? this.#keepers);
    this.#dueAtMs = performance.now() + RETRY_MS;
    if (listed === undefined) return;
    this.#keepers = listed;
    this.#updates += 1;
    const isEarly = listed.length === 0 || this.#updates <= EARLY_UPDATES;
    const waitMs = isEarly ? EARLY_UPDATE_MS : UPDATE_MS;
    this.#dueAtMs = performance.now() + waitMs;
  }

  #log(listed: readonly DiskInfo[]): void {
    const before = this.#keepers.map(({ vmId }) => vmId).sort();
    const after = listed.map(({ vmId }) => vmId).sort();
    if (before.join() === after.join()) return;
    this.#gatewayLog.write(EVENTS.KeepersChanged, {
      before: before.length,
      keepers: after,
    });
  }
}
