/**
 * Periods in which an engine is slow because of noisy neighbours.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The frequency and duration of slow periods, and the speed in them. */
export interface SlowPeriodsOptions {
  readonly seed: number;
  /** Longest time between two periods. */
  readonly maxGapMs: number;
  /** Longest duration of one period. */
  readonly maxDurationMs: number;
  /** Relative speed in a slow period, where 1 is normal. */
  readonly speed: number;
}

/** One slow period. The gap starts at the end of the previous period. */
export interface SlowPeriod {
  readonly gapMs: number;
  readonly durationMs: number;
}

/** The slow periods of one engine. The same seed gives the same periods. */
export class SlowPeriods {
  readonly #options: SlowPeriodsOptions;
  readonly #random: ReturnType<typeof xoroshiro128plus>;

  constructor(options: SlowPeriodsOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
  }

  /** Draws the next period. */
  take(): SlowPeriod {
    const { maxGapMs, maxDurationMs } = this.#options;
    return {
      gapMs: uniformInt(this.#random, 1, maxGapMs),
      durationMs: uniformInt(this.#random, 1, maxDurationMs),
    };
  }
}

/** Sets the speed of an engine in slow periods, until stopped. */
export function startSlowPeriods(
  options: SlowPeriodsOptions,
  setSpeed: (speed: number) => void,
): { stop(): void } {
  const periods = new SlowPeriods(options);
  let timer: NodeJS.Timeout | undefined;
  const schedulePeriod = (): void => {
    const { gapMs, durationMs } = periods.take();
    timer = setTimeout(() => {
      setSpeed(options.speed);
      timer = setTimeout(() => {
        setSpeed(1);
        schedulePeriod();
      }, durationMs);
    }, gapMs);
  };
  schedulePeriod();
  return { stop: () => clearTimeout(timer) };
}
