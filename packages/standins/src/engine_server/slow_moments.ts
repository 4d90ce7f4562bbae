/**
 * Moments in which unseen neighbours slow an engine down.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** How often an engine is slow, for how long, and how slow. */
export interface SlowMomentsOptions {
  readonly seed: number;
  /** Longest time between two moments. */
  readonly maxGapMs: number;
  /** Longest time that one moment lasts. */
  readonly maxDurationMs: number;
  /** Speed in a moment, one being usual. */
  readonly speed: number;
}

/** One moment, relative to the end of the one before. */
export interface SlowMoment {
  readonly gapMs: number;
  readonly durationMs: number;
}

/** The moments of one engine. Same seed, same moments. */
export class SlowMoments {
  readonly #options: SlowMomentsOptions;
  readonly #random: ReturnType<typeof xoroshiro128plus>;

  constructor(options: SlowMomentsOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
  }

  /** Takes the next moment. */
  take(): SlowMoment {
    const { maxGapMs, maxDurationMs } = this.#options;
    return {
      gapMs: uniformInt(this.#random, 1, maxGapMs),
      durationMs: uniformInt(this.#random, 1, maxDurationMs),
    };
  }
}

/** Sets an engine's speed by its moments until it's stopped. */
export function startSlowMoments(
  options: SlowMomentsOptions,
  setSpeed: (speed: number) => void,
): { stop(): void } {
  const moments = new SlowMoments(options);
  let timer: NodeJS.Timeout | undefined;
  const waitForNext = (): void => {
    const { gapMs, durationMs } = moments.take();
    timer = setTimeout(() => {
      setSpeed(options.speed);
      timer = setTimeout(() => {
        setSpeed(1);
        waitForNext();
      }, durationMs);
    }, gapMs);
  };
  waitForNext();
  return { stop: () => clearTimeout(timer) };
}
