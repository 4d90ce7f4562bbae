import type { Step } from "./account_world_test.ts";

const TIMER_WEIGHT = 10;

interface Timer {
  readonly atMs: number;
  readonly run: () => void;
}

/**
 * Takes the place of the process's clocks and timers, until it's removed. A
 * timer fires when its step is run; time stands still between steps.
 */
export class VirtualTime {
  nowMs = 1_000_000;
  readonly #timers = new Map<number, Timer>();
  readonly #real = {
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
    performanceNow: performance.now,
    dateNow: Date.now,
  };
  #lastId = 0;

  constructor() {
    const set = (run: () => void, delayMs = 0): number => {
      this.#lastId += 1;
      this.#timers.set(this.#lastId, { atMs: this.nowMs + delayMs, run });
      return this.#lastId;
    };
    Object.assign(globalThis, {
      setTimeout: set,
      clearTimeout: (id: number) => this.#timers.delete(id),
    });
    performance.now = () => this.nowMs;
    Date.now = () => this.nowMs;
  }

  /** The timer that is due first. */
  get nextStep(): Step | undefined {
    const [first] = [...this.#timers]
      .sort(([, left], [, right]) => left.atMs - right.atMs);
    if (first === undefined) return undefined;
    const [id, { atMs, run }] = first;
    return {
      name: "timer",
      weight: TIMER_WEIGHT,
      run: () => {
        this.#timers.delete(id);
        this.nowMs = Math.max(this.nowMs, atMs);
        run();
      },
    };
  }

  /** Lets time pass without a timer. */
  pass(durationMs: number): void {
    this.nowMs += durationMs;
  }

  remove(): void {
    globalThis.setTimeout = this.#real.setTimeout;
    globalThis.clearTimeout = this.#real.clearTimeout;
    performance.now = this.#real.performanceNow;
    Date.now = this.#real.dateNow;
  }
}
