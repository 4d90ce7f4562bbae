/**
 * What requests cost, learned from what this gateway observes: the prefill rate
 * and the time of a generated token by service, the generated tokens and the
 * durations of plain calls by route, and the speed of each target against the
 * average of its service.
 *
 * Made for some ten thousand requests a second over hundreds of gateways, so
 * that a gateway sees a given engine once in some seconds: a single sample
 * counts, and samples are sums that gateways can exchange. Estimates start at
 * fixed values; none is ever above or below bounds around these, so that false
 * observations can't keep a target out of use.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import { CallDurations } from "./call_durations.ts";
import { DecayedRatio } from "./decayed_ratio.ts";
import { type LengthHints, OutputLengths } from "./output_lengths.ts";

/** Prompt tokens that an engine prefills per ms before the first sample. */
const INITIAL_PREFILL_TOKENS_PER_MS = 500;
/** Weight of that value, in tokens: a third of a long prompt. */
const INITIAL_PREFILL_TOKENS = 4_000;
/** Shorter reads are hidden by the variation of everything else. */
const MIN_PREFILL_SAMPLE_TOKENS = 1_000;
/** A read that is quicker than expected by this factor was partly cached. */
const CACHED_READ_FACTOR = 3;
/** A longer read than expected by this factor waited for something else. */
const MAX_READ_FACTOR = 4;
const RATE_HALF_LIFE_MS = 30_000;
/** A slow target gets its full share again within some of these. */
const SPEED_HALF_LIFE_MS = 8_000;
/**
 * Weight of the average speed beside a target's samples: a target at half the
 * speed shows in its second sample.
 */
const AVERAGE_SPEED_SAMPLES = 0.7;
/** Weight of a plain call's sample: calls of one route differ by themselves. */
const CALL_WEIGHT = 0.3;
/** What one sample of a target may say at most of its time. */
const MAX_TAKEN_FACTOR = 6;
/** How a failure counts against the time of typical work. */
const FAILURE_FACTOR = 4;
const MIN_SPEED = 0.15;
const MAX_SPEED = 1.5;
/** Typical work while nothing is known of a service. */
const INITIAL_WORK_MS = 50;
/** Services, routes and targets that are tracked at most. */
const MAX_TRACKED = 16_384;

/** Identifies what the costs depend on. */
export interface WorkKey {
  readonly service: string;
  readonly route: string;
}

/** One request's length, where it generates tokens. */
export interface GeneratedWork extends LengthHints {
  readonly tokens: number;
}

/** Samples of one target's speed. */
export interface SpeedSums {
  /** Sum of the samples' weights. */
  readonly samples: number;
  /** Sum of the times taken, each in parts of the expected time. */
  readonly taken: number;
}

interface ServiceRates {
  /** Ms by prompt tokens. */
  readonly prefill: DecayedRatio;
  /** Ms by generated tokens. */
  readonly generation: DecayedRatio;
  /** Ms of work by requests. */
  readonly work: DecayedRatio;
}

interface RouteCosts {
  readonly lengths: OutputLengths;
  readonly durations: CallDurations;
}

/** Learns and estimates the costs of requests. */
export class WorkModel {
  readonly #services = new BoundedMap<string, ServiceRates>(MAX_TRACKED);
  readonly #routes = new BoundedMap<string, RouteCosts>(MAX_TRACKED);
  readonly #speeds = new BoundedMap<string, DecayedRatio>(MAX_TRACKED);
  /** Samples of speeds since they were last reported, by target. */
  #unreported = new BoundedMap<string, SpeedSums>(MAX_TRACKED);

  /** Records a read of uncached prompt tokens by a target that was idle. */
  recordRead(
    { service, targetId }: { service: string; targetId: string },
    sample: { readonly tokens: number; readonly takenMs: number },
    nowMs: number,
  ): void {
    const { tokens } = sample;
    if (tokens < MIN_PREFILL_SAMPLE_TOKENS) return;
    const takenMs = sample.takenMs *
      this.computeSpeed(targetId, nowMs);
    const expectedMs = this.computeReadMs(service, tokens);
    if (takenMs < expectedMs / CACHED_READ_FACTOR) return;
    const countedMs = Math.min(takenMs, expectedMs * MAX_READ_FACTOR);
    this.#getRates(service).prefill.add(countedMs, tokens, nowMs);
  }

  /** Records how long a target took for generated tokens. */
  recordGeneration(
    { service, targetId }: { service: string; targetId: string },
    { tokens, takenMs }: { readonly tokens: number; readonly takenMs: number },
    nowMs: number,
  ): void {
    const { generation } = this.#getRates(service);
    const expectedMs = (generation.ratio ?? takenMs / tokens) * tokens;
    generation.add(takenMs, tokens, nowMs);
    this.#recordSpeed(targetId, { expectedMs, takenMs }, nowMs);
  }

  /** Records the length of a complete stream. */
  recordLength(key: WorkKey, { tokens, ...hints }: GeneratedWork): void {
    this.#getRoute(key).lengths.record(tokens, hints);
  }

  /** Records a plain call, without its wait. */
  recordCall(
    key: WorkKey & { readonly targetId: string },
    takenMs: number,
    nowMs: number,
  ): void {
    const { durations } = this.#getRoute(key);
    const expectedMs = durations.meanMs ?? takenMs;
    const speed = this.computeSpeed(key.targetId, nowMs);
    durations.record(takenMs * speed);
    this.#recordSpeed(key.targetId, {
      expectedMs,
      takenMs,
      weight: CALL_WEIGHT,
    }, nowMs);
  }

  /** Records the whole expected work of a request, as typical of its service. */
  recordWork(service: string, expectedMs: number, nowMs: number): void {
    if (expectedMs > 0) {
      this.#getRates(service).work.add(expectedMs, 1, nowMs);
    }
  }

  /** Records a failure or a silence, which counts as slow. */
  recordFailure(service: string, targetId: string, nowMs: number): void {
    const expectedMs = this.computeTypicalMs(service);
    const takenMs = expectedMs * FAILURE_FACTOR;
    this.#recordSpeed(targetId, { expectedMs, takenMs }, nowMs);
  }

  /** Whether anything was observed of a service's generation or calls. */
  isKnown(service: string): boolean {
    return this.#services.get(service)?.work.ratio !== undefined;
  }

  /** Computes the time to read prompt tokens at average speed. */
  computeReadMs(service: string, tokens: number): number {
    const prefill = this.#services.get(service)?.prefill;
    const { above, below } = prefill?.sums ?? { above: 0, below: 0 };
    const initialMs = INITIAL_PREFILL_TOKENS / INITIAL_PREFILL_TOKENS_PER_MS;
    return tokens * (above + initialMs) / (below + INITIAL_PREFILL_TOKENS);
  }

  /** Computes the time of generated tokens at average speed; 0 if unknown. */
  computeGenerationMs(service: string, tokens: number): number {
    return tokens * (this.#services.get(service)?.generation.ratio ?? 0);
  }

  /** Estimates the tokens that a request generates; 0 if unknown. */
  computeTokens(key: WorkKey, hints: LengthHints): number {
    return this.#getRoute(key).lengths.compute(hints);
  }

  /** Estimates a plain call at average speed; undefined if unknown. */
  computeCall(
    key: WorkKey,
  ): { readonly meanMs: number; readonly lateMs: number } | undefined {
    const { meanMs, lateMs } = this.#getRoute(key).durations;
    return meanMs === undefined || lateMs === undefined
      ? undefined
      : { meanMs, lateMs };
  }

  /** Computes the mean work of a service's requests at average speed. */
  computeTypicalMs(service: string): number {
    return this.#services.get(service)?.work.ratio ?? INITIAL_WORK_MS;
  }

  /**
   * Computes a target's speed against the average of its service, from this
   * gateway's samples and those of others.
   */
  computeSpeed(targetId: string, nowMs: number, others?: SpeedSums): number {
    const own = this.#speeds.get(targetId)?.computeSums(nowMs);
    const samples = (own?.above ?? 0) + (others?.samples ?? 0);
    const taken = (own?.below ?? 0) + (others?.taken ?? 0);
    const speed = (samples + AVERAGE_SPEED_SAMPLES) /
      (taken + AVERAGE_SPEED_SAMPLES);
    return Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
  }

  /** Takes the samples of speeds that weren't reported yet. */
  takeUnreported(): ReadonlyMap<string, SpeedSums> {
    const taken = new Map(this.#unreported.list());
    this.#unreported = new BoundedMap(MAX_TRACKED);
    return taken;
  }

  /** Forgets a target that is gone. */
  removeTarget(targetId: string): void {
    this.#speeds.remove(targetId);
    this.#unreported.remove(targetId);
  }

  /**
   * Records a sample of a target's speed. Every sample weighs the same however
   * long the request was, or one slow start would outweigh all that follows.
   */
  #recordSpeed(
    targetId: string,
    { expectedMs, takenMs, weight = 1 }: {
      readonly expectedMs: number;
      readonly takenMs: number;
      readonly weight?: number;
    },
    nowMs: number,
  ): void {
    if (expectedMs <= 0) return;
    const factor = Math.min(
      MAX_TAKEN_FACTOR,
      Math.max(1 / MAX_TAKEN_FACTOR, takenMs / expectedMs),
    );
    const speeds = this.#speeds.get(targetId) ??
      new DecayedRatio(SPEED_HALF_LIFE_MS);
    speeds.add(weight, weight * factor, nowMs);
    this.#speeds.set(targetId, speeds);
    const before = this.#unreported.get(targetId);
    this.#unreported.set(targetId, {
      samples: (before?.samples ?? 0) + weight,
      taken: (before?.taken ?? 0) + weight * factor,
    });
  }

  #getRates(service: string): ServiceRates {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const rates = {
      prefill: new DecayedRatio(RATE_HALF_LIFE_MS),
      generation: new DecayedRatio(RATE_HALF_LIFE_MS),
      work: new DecayedRatio(RATE_HALF_LIFE_MS),
    };
    this.#services.set(service, rates);
    return rates;
  }

  #getRoute({ service, route }: WorkKey): RouteCosts {
    const key = `${service}|${route}`;
    const known = this.#routes.get(key);
    if (known !== undefined) return known;
    const costs = {
      lengths: new OutputLengths(),
      durations: new CallDurations(),
    };
    this.#routes.set(key, costs);
    return costs;
  }
}
