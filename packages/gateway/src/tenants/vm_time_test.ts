interface Entry {
  readonly vmId: string;
  /** Timers stand still with the clock of a suspended VM; arrivals wait. */
  readonly kind: "timer" | "arrival";
  readonly run: () => void;
  atMs: number;
}

interface VmClock {
  /** Time for which the VM has been suspended so far. */
  lostMs: number;
  resumesAtMs: number;
}

/**
 * Replaces the process's clocks and timers by those of several VMs, each of
 * which may be suspended for a while: its steady clock and its timers stand
 * still, its wall clock is right again afterwards, and what arrived meanwhile is
 * delivered at its end. Code runs on the VM whose timer or arrival is due.
 */
export class VmTime {
  /** True time. */
  nowMs = 1_000_000;
  readonly #entries = new Map<number, Entry>();
  readonly #clocks = new Map<string, VmClock>();
  readonly #real = {
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
    performanceNow: performance.now,
    dateNow: Date.now,
  };
  #current = "";
  #lastId = 0;

  constructor({ hasWallClock }: { readonly hasWallClock: boolean }) {
    Object.assign(globalThis, {
      setTimeout: (run: () => void, delayMs = 0) =>
        this.#add({
          vmId: this.#current,
          kind: "timer",
          run,
          atMs: this.nowMs + delayMs,
        }),
      clearTimeout: (id: number) => this.#entries.delete(id),
    });
    const readSteady = () => this.nowMs - this.#getClock(this.#current).lostMs;
    performance.now = readSteady;
    Date.now = hasWallClock ? () => this.nowMs : readSteady;
  }

  /** Runs code on a VM after a delay; once it's resumed if it's suspended. */
  deliver(vmId: string, delayMs: number, run: () => void): void {
    const atMs = Math.max(
      this.nowMs + delayMs,
      this.#getClock(vmId).resumesAtMs,
    );
    this.#add({ vmId, kind: "arrival", run, atMs });
  }

  /** Runs code on a VM now. */
  runOn<T>(vmId: string, run: () => T): T {
    const before = this.#current;
    this.#current = vmId;
    try {
      return run();
    } finally {
      this.#current = before;
    }
  }

  isSuspended(vmId: string): boolean {
    return this.nowMs < this.#getClock(vmId).resumesAtMs;
  }

  suspend(vmId: string, durationMs: number): void {
    if (this.isSuspended(vmId)) return;
    const clock = this.#getClock(vmId);
    clock.lostMs += durationMs;
    clock.resumesAtMs = this.nowMs + durationMs;
    for (const entry of this.#entries.values()) {
      if (entry.vmId !== vmId) continue;
      if (entry.kind === "timer") entry.atMs += durationMs;
      else entry.atMs = Math.max(entry.atMs, clock.resumesAtMs);
    }
  }

  /** Runs everything that's due within a time. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.#findNext();
      if (next === undefined || next[1].atMs > endMs) break;
      const [id, entry] = next;
      this.#entries.delete(id);
      this.nowMs = Math.max(this.nowMs, entry.atMs);
      this.#current = entry.vmId;
      entry.run();
      // The continuations of the VM's promises run on it as well.
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.nowMs = endMs;
  }

  restore(): void {
    globalThis.setTimeout = this.#real.setTimeout;
    globalThis.clearTimeout = this.#real.clearTimeout;
    performance.now = this.#real.performanceNow;
    Date.now = this.#real.dateNow;
  }

  #add(entry: Entry): number {
    this.#lastId += 1;
    this.#entries.set(this.#lastId, entry);
    return this.#lastId;
  }

  #findNext(): [number, Entry] | undefined {
    let first: [number, Entry] | undefined;
    for (const each of this.#entries) {
      if (first === undefined || each[1].atMs < first[1].atMs) first = each;
    }
    return first;
  }

  #getClock(vmId: string): VmClock {
    const clock = this.#clocks.get(vmId) ??
      { lostMs: 0, resumesAtMs: Number.NEGATIVE_INFINITY };
    this.#clocks.set(vmId, clock);
    return clock;
  }
}
