/**
 * Saves one turn on as many disks as the tolerated losses require.
 *
 * Short, frequent writes to disks that may be slow, hung, full or away: the
 * first disks in the chain's order are called at once, and a further one
 * whenever a call fails or takes longer than usual.
 */
import { hasEnoughCopies } from "../decisions/disk_choice.ts";
import { encodeTurn } from "../messages.ts";
import type { TurnChain } from "../model/kept_turn.ts";
import type { DiskInfo, LossTolerance } from "../model/turn_disk.ts";
import type { DiskCaller } from "./disk_links.ts";

/** A disk in another region usually answers within this time. */
const HEDGE_MS = 70;
const CALL_TIMEOUT_MS = 1_000;
/** Pause before all disks are called again. */
const ROUND_PAUSE_MS = 40;

/** Dependencies of a saver. */
export interface TurnSaverOptions {
  readonly caller: DiskCaller;
  readonly tolerance: LossTolerance;
  /** Lists the disks that take turns, in the chain's order. */
  readonly listDisks: () => readonly DiskInfo[];
  readonly deadlineMs: number;
}

/** Saves the last turn of one chain. */
export class TurnSaver {
  readonly #options: TurnSaverOptions;
  readonly #chain: TurnChain;
  /** Disks that acknowledged the turn, by the id of their contents. */
  readonly #saved = new Map<string, DiskInfo>();
  readonly #called = new Set<string>();
  #running = 0;
  #notify: () => void = () => {};

  constructor(chain: TurnChain, options: TurnSaverOptions) {
    this.#chain = chain;
    this.#options = options;
  }

  /** Number of disks that acknowledged the turn so far. */
  get copies(): number {
    return this.#saved.size;
  }

  /** Resolves to true once enough copies are durable, false at the deadline. */
  async run(): Promise<boolean> {
    const { deadlineMs } = this.#options;
    while (!this.#isDone) {
      if (performance.now() >= deadlineMs) return false;
      if (this.#startNeeded() || this.#running > 0) {
        const isAnswered = await this.#waitForAnswer(HEDGE_MS);
        if (!isAnswered && !this.#isDone) this.#startNext();
      } else {
        await this.#waitForAnswer(ROUND_PAUSE_MS);
        this.#called.clear();
      }
    }
    return true;
  }

  get #isDone(): boolean {
    return hasEnoughCopies([...this.#saved.values()], this.#options.tolerance);
  }

  /** Starts calls until those that run would be enough; false if none. */
  #startNeeded(): boolean {
    let hasStarted = false;
    const { tolerance } = this.#options;
    const needed = Math.max(
      tolerance.disks,
      tolerance.failureDomains,
      tolerance.regions,
    ) + 1;
    while (this.#saved.size + this.#running < needed && this.#startNext()) {
      hasStarted = true;
    }
    return hasStarted;
  }

  #startNext(): boolean {
    const next = this.#options.listDisks().find(({ diskId }) =>
      !this.#called.has(diskId) && !this.#saved.has(diskId)
    );
    if (next === undefined) return false;
    this.#called.add(next.diskId);
    this.#running += 1;
    void this.#saveAt(next).finally(() => {
      this.#running -= 1;
      this.#notify();
    });
    return true;
  }

  async #saveAt(disk: DiskInfo): Promise<void> {
    const last = this.#chain.slice(-1);
    if (await this.#callDisk(disk, last) === "needs_chain") {
      await this.#callDisk(disk, this.#chain);
    }
  }

  async #callDisk(
    disk: DiskInfo,
    turns: TurnChain,
  ): Promise<string | undefined> {
    const nowMs = performance.now();
    const response = await this.#options.caller.call(disk, {
      kind: "save_turns",
      turns: turns.map((turn) => encodeTurn(turn, nowMs)),
    }, CALL_TIMEOUT_MS);
    if (response?.answer.kind === "saved") {
      this.#saved.set(response.diskId, { ...disk, diskId: response.diskId });
    }
    return response?.answer.kind;
  }

  /** Waits for the next answer; false when none comes within `limitMs`. */
  #waitForAnswer(limitMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), limitMs);
      this.#notify = () => {
        clearTimeout(timer);
        resolve(true);
      };
    });
  }
}
