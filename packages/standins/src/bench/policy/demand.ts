/**
 * Generates random program arrivals at a rate that may swing within seconds.
 */
import { RandomSource } from "@camphorlock/scheduler";
import type { EngineSettings } from "../../engine/mod.ts";
import { type AgentShape, createProgram } from "./agents.ts";
import {
  computeCapacity,
  computeWorkMs,
  type PlannedProgram,
  type Workload,
} from "./workload.ts";

/** One agent and its share of a demand stream. */
export interface AgentShare {
  readonly shape: AgentShape;
  /** Share of the stream's programs. */
  readonly share: number;
}

/** A stream of programs whose rate is relative to the pool's capacity. */
export interface DemandStream {
  readonly agentMix: readonly AgentShare[];
  /** Gets the rate at a time, relative to capacity. */
  readonly getLoad: (atMs: number) => number;
  /** Whether the rate alternates between low and high every few seconds. */
  readonly swings: boolean;
}

/** The engines for which capacity is computed. */
export interface EnginePool {
  readonly engines: number;
  readonly engine: EngineSettings;
}

/** The end of arrivals and the measured interval of a run. */
export interface RunTimes {
  readonly arrivalsToMs: number;
  readonly measureFromMs: number;
  readonly measureToMs: number;
}

const SAMPLE_PROGRAMS = 4_000;
const SWING_LOW = 0.4;
const SWING_HIGH = 1.6;
const SWING_MS: readonly [number, number] = [2_000, 6_000];

/** Creates the programs of a run; the same seed gives the same programs. */
export function createWorkload(
  streams: readonly DemandStream[],
  options: {
    readonly seed: number;
    readonly pool: EnginePool;
    readonly times: RunTimes;
  },
): Workload {
  const { seed, pool, times } = options;
  const programs = streams.flatMap((stream, index) =>
    createStream(stream, {
      random: new RandomSource(seed * 100 + index),
      capacity: computeStreamCapacity(stream, pool),
      name: `s${index}`,
      endMs: times.arrivalsToMs,
    })
  );
  programs.sort((left, right) => left.arrivesAtMs - right.arrivesAtMs);
  const { measureFromMs, measureToMs } = times;
  return { programs, measureFromMs, measureToMs };
}

/** Computes how many of a stream's programs a pool completes per second. */
export function computeStreamCapacity(
  stream: DemandStream,
  pool: EnginePool,
): number {
  const random = new RandomSource(7);
  let workMs = 0;
  for (let number = 0; number < SAMPLE_PROGRAMS; number += 1) {
    const shape = chooseShape(stream, random);
    const options = { programId: "s", arrivesAtMs: 0, random };
    workMs += computeWorkMs(createProgram(shape, options), pool.engine);
  }
  return computeCapacity(workMs / SAMPLE_PROGRAMS, pool);
}

function createStream(
  stream: DemandStream,
  options: {
    readonly random: RandomSource;
    readonly capacity: number;
    readonly name: string;
    readonly endMs: number;
  },
): PlannedProgram[] {
  const { random, capacity, name, endMs } = options;
  const programs: PlannedProgram[] = [];
  let atMs = 0;
  let swing = 1;
  let swingEndsAtMs = 0;
  while (atMs < endMs) {
    if (stream.swings && atMs >= swingEndsAtMs) {
      swing = swing > 1 ? SWING_LOW : SWING_HIGH;
      swingEndsAtMs = atMs + random.takeBetween(...SWING_MS);
    }
    const rate = capacity * stream.getLoad(atMs) * swing;
    const gapMs = -Math.log(1 - random.takeFloat()) * 1_000 / rate;
    const nextMs = Math.min(
      atMs + gapMs,
      computeNextSwingMs(stream, swingEndsAtMs),
    );
    if (nextMs < atMs + gapMs) {
      atMs = nextMs;
      continue;
    }
    atMs = nextMs;
    const programId = `${name}p${programs.length}`;
    const shape = chooseShape(stream, random);
    programs.push(
      createProgram(shape, { programId, arrivesAtMs: atMs, random }),
    );
  }
  return programs;
}

function computeNextSwingMs(
  stream: DemandStream,
  swingEndsAtMs: number,
): number {
  return stream.swings ? swingEndsAtMs : Infinity;
}

function chooseShape(stream: DemandStream, random: RandomSource): AgentShape {
  let remaining = random.takeFloat();
  for (const { shape, share } of stream.agentMix) {
    if (remaining < share) return shape;
    remaining -= share;
  }
  const last = stream.agentMix.at(-1);
  if (last === undefined) throw new RangeError("the stream has no agents");
  return last.shape;
}
