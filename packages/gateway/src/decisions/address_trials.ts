/**
 * Trials of an address without a request that may end what runs there.
 *
 * The load: all ends that a request meets are at one address, since routes prefer
 * the nearest target or have no other. Either the request ends the target, or
 * the target ends by itself. So the address is kept free of the request for a
 * while: a target that ends meanwhile does so without it. Ends at which another
 * doubted request ran prove nothing.
 */
import { BoundedMap } from "../model/bounded_map.ts";

/** Long enough for a target to start again and run for some seconds. */
export const TRIAL_MS = 10_000;
/** Time for a request to run before the next one comes back. */
const STAGGER_MS = 1_000;
const MAX_TRIALS = 1_000;
/** Trials after which the request counts as the cause, whatever else ended. */
const MAX_TRIALS_OF_ONE = 2;

/** The end of a target, as far as trials need it. */
export interface ObservedEnd {
  readonly address: string;
  readonly atMs: number;
  /** Whether a request runs there that is blocked since. */
  readonly isExplained: boolean;
  readonly requests: ReadonlyMap<string, unknown>;
}

/** What trials say of a request. */
export type TrialResult =
  /** There was none, or the target has ended without the request, too. */
  | "open"
  /** The target lived without the request, and ended with it. */
  | "likely"
  /** It has ended with the request after each of several trials. */
  | "certain";

interface AddressTrial {
  readonly address: string;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Earlier trials, after each of which the target ended with the request. */
  readonly earlier: number;
}

/** The last trial of each request. */
export class AddressTrials {
  readonly #byRequest = new BoundedMap<string, AddressTrial>(MAX_TRIALS);

  /**
   * Starts the trials of all requests that an end raises doubts about; returns
   * how long each lasts. They come back one after another, so that the next end
   * tells them apart.
   */
  start(
    requests: readonly string[],
    { address, atMs }: ObservedEnd,
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const durations = requests.map((request, index) => {
      const before = this.#byRequest.get(request);
      const hasEnded = before !== undefined && atMs >= before.untilMs;
      const durationMs = TRIAL_MS + index * STAGGER_MS;
      this.#byRequest.set(request, {
        address,
        fromMs: nowMs,
        untilMs: nowMs + durationMs,
        earlier: (before?.earlier ?? 0) + (hasEnded ? 1 : 0),
      });
      return [request, durationMs] as const;
    });
    return new Map(durations);
  }

  remove(request: string): void {
    this.#byRequest.remove(request);
  }

  /** Finds what trials say of a request, after an end at which it ran. */
  findResult(request: string, ends: readonly ObservedEnd[]): TrialResult {
    const trial = this.#byRequest.get(request);
    if (trial === undefined) return "open";
    const { fromMs, untilMs, earlier } = trial;
    const there = ends.filter(({ address }) => address === trial.address);
    const hasEndedSince = there.some(({ atMs, requests }) =>
      atMs >= untilMs && requests.has(request)
    );
    if (!hasEndedSince) return "open";
    if (earlier + 1 >= MAX_TRIALS_OF_ONE) return "certain";
    const hasEndedWithout = there.some((end) =>
      end.atMs > fromMs && end.atMs < untilMs && !this.#isDoubted(end)
    );
    return hasEndedWithout ? "open" : "likely";
  }

  /** Whether a request ran at an end that may have caused it. */
  #isDoubted({ isExplained, requests }: ObservedEnd): boolean {
    return isExplained ||
      [...requests.keys()].some((request) => this.#byRequest.has(request));
  }
}
