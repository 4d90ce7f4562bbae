/**
 * The processes that keep facts, as they are registered in the store. A list
 * lasts for a while, since VMs with disks come and go rarely; it's read again
 * sooner while there is none.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { DiskInfo } from "@camphorlock/turns";
import type { GatewayLog } from "../log.ts";

const REFRESH_MS = 30_000;
const RETRY_MS = 500;

/** The known keepers. */
export class FactKeepers {
  readonly #loadDisks: () => Promise<readonly DiskInfo[] | undefined>;
  readonly #gatewayLog: GatewayLog;
  #keepers: readonly DiskInfo[] = [];
  #dueAtMs = 0;
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
    const isUsable = listed !== undefined && listed.length > 0;
    if (isUsable) this.#keepers = listed;
    this.#dueAtMs = performance.now() + (isUsable ? REFRESH_MS : RETRY_MS);
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
