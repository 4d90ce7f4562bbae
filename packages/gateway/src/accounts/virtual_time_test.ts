import type { Step } from "./simulated_storage_test.ts";

const TIMER_WEIGHT = 10;

interface Timer {
  readonly id: number;
  readonly atMs: number;
  readonly run: () => void;
}

/** Timers by the time at which they're due, then in the order of their start. */
class TimerQueue {
  readonly #heap: Timer[] = [];
  readonly #pending = new Set<number>();

  add(timer: Timer): void {
    this.#pending.add(timer.id);
    this.#heap.push(timer);
    let at = this.#heap.length - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.#isBefore(at, parent)) break;
      this.#swap(at, parent);
      at = parent;
    }
  }

  remove(id: number): void {
    this.#pending.delete(id);
  }

  /** The timer that is due first. */
  get first(): Timer | undefined {
    while (this.#heap[0] && !this.#pending.has(this.#heap[0].id)) this.#pop();
    return this.#heap[0];
  }

  #pop(): void {
    this.#swap(0, this.#heap.length - 1);
    this.#heap.pop();
    let at = 0;
    for (;;) {
      let least = at;
      for (const child of [2 * at + 1, 2 * at + 2]) {
        if (child < this.#heap.length && this.#isBefore(child, least)) {
          least = child;
        }
      }
      if (least === at) return;
      this.#swap(at, least);
      at = least;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const a = this.#heap[left] as Timer;
    const b = this.#heap[right] as Timer;
    return a.atMs === b.atMs ? a.id < b.id : a.atMs < b.atMs;
  }

  #swap(left: number, right: number): void {
    const timer = this.#heap[left] as Timer;
    this.#heap[left] = this.#heap[right] as Timer;
    this.#heap[right] = timer;
  }
}

/**
 * Replaces the process's clocks and timers until `restore` is called. A timer
 * fires when its step is run; the clocks don't advance between steps.
 */
export class VirtualTime {
  nowMs = 1_000_000;
  readonly #timers = new TimerQueue();
  readonly #real = {
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
    performanceNow: performance.now,
    dateNow: Date.now,
  };
  #lastId = 0;
  #suspendedMs = 0;

  constructor() {
    const set = (run: () => void, delayMs = 0): number => {
      this.#lastId += 1;
      const atMs = this.nowMs + delayMs;
      this.#timers.add({ id: this.#lastId, atMs, run });
      return this.#lastId;
    };
    Object.assign(globalThis, {
      setTimeout: set,
      clearTimeout: (id: number) => this.#timers.remove(id),
    });
    performance.now = () => this.nowMs;
    Date.now = () => this.nowMs + this.#suspendedMs;
  }

  /** The step that fires the timer that is due first. */
  get nextStep(): Step | undefined {
    const { first } = this.#timers;
    if (first === undefined) return undefined;
    const { id, atMs, run } = first;
    return {
      name: "timer",
      weight: TIMER_WEIGHT,
      run: () => {
        this.#timers.remove(id);
        this.nowMs = Math.max(this.nowMs, atMs);
        run();
      },
    };
  }

  /** When the first timer is due; infinite without timers. */
  get nextAtMs(): number {
    return this.#timers.first?.atMs ?? Number.POSITIVE_INFINITY;
  }

  /** Advances the clocks without firing a timer. */
  advance(durationMs: number): void {
    this.nowMs += durationMs;
  }

  /** Advances the wall clock only, as while a VM is suspended. */
  suspend(durationMs: number): void {
    this.#suspendedMs += durationMs;
  }

  restore(): void {
    globalThis.setTimeout = this.#real.setTimeout;
    globalThis.clearTimeout = this.#real.clearTimeout;
    performance.now = this.#real.performanceNow;
    Date.now = this.#real.dateNow;
  }
}
