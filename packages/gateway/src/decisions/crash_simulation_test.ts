/**
 * Simulates many gateways and targets in virtual time, with a few requests that
 * crash what runs them and targets that end by themselves.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import type { Fingerprint } from "../model/request_fingerprint.ts";
import { BlockedRequests } from "./blocked_requests.ts";
import { CrashAttribution } from "./crash_attribution.ts";

const STEP_MS = 10;
const RUN_MS = 250;
const CRASH_AFTER_MS = 90;
const RESTART_MS = 3_000;
const SETTLE_INTERVAL_MS = 50;
const CONTACT_MS = 3_000;
/** Time until a report arrives, and until all know what is blocked. */
const MESSAGE_MS = 30;
const MAX_CRASHES_PER_ATTEMPT = 2;
const SLOTS = 8;
/** Share of the slots that harmless requests fill. */
const LOAD = 0.3;
const CRASHING_INTERVAL_MS = 500;
const RETURN_MS = 200;

/** What to simulate. */
export interface CrashSimulation {
  readonly random: () => number;
  readonly gateways: number;
  readonly targets: number;
  /** Number of requests that crash what runs them. */
  readonly crashing: number;
  readonly ownEndsPerSecond: number;
  readonly durationMs: number;
  /** Whether each request goes to the same target while that's up. */
  readonly isSticky?: boolean;
  /** Pause between two attempts at one that crashes targets. */
  readonly crashingIntervalMs?: number;
}

/** What was seen. */
export interface CrashSimulationResult {
  /** Sends of one request later than the bound after its third crash. */
  readonly mostLateSends: number;
  readonly harmless: number;
  readonly refusedHarmless: number;
  /** Targets that requests have ended. */
  readonly crashes: number;
}

interface SimulatedRun {
  readonly fingerprint: string;
  readonly gateway: number;
  readonly endAtMs: number;
  readonly crashes: number;
}

interface SimulatedTarget {
  incarnation: number;
  upAtMs: number;
  runs: SimulatedRun[];
}

/** Creates random numbers from 0 to 1 from a seed. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
    return state / 4_294_967_296;
  };
}

/** Runs a simulation. */
export function simulateCrashes(
  options: CrashSimulation,
): CrashSimulationResult {
  return new Simulation(options).run();
}

class Simulation {
  readonly #options: CrashSimulation;
  readonly #targets: SimulatedTarget[];
  readonly #attribution = new CrashAttribution();
  /** All gateways learn what is blocked at the same time. */
  readonly #blocked = new BlockedRequests();
  #pending: { readonly atMs: number; readonly act: () => void }[] = [];
  readonly #crashesAtMs = new Map<string, number[]>();
  readonly #lateSends = new Map<string, number>();
  readonly #refused = new Set<string>();
  #harmless = 0;
  #nowMs = 0;

  constructor(options: CrashSimulation) {
    this.#options = options;
    this.#targets = Array.from(
      { length: options.targets },
      () => ({ incarnation: 1, upAtMs: 0, runs: [] }),
    );
  }

  run(): CrashSimulationResult {
    const { durationMs, crashing, targets, ownEndsPerSecond } = this.#options;
    const { random, crashingIntervalMs = CRASHING_INTERVAL_MS } = this.#options;
    const arrivals = LOAD * SLOTS * targets * STEP_MS / RUN_MS;
    for (; this.#nowMs < durationMs; this.#nowMs += STEP_MS) {
      const due = this.#pending.filter(({ atMs }) => atMs <= this.#nowMs);
      this.#pending = this.#pending.filter(({ atMs }) => atMs > this.#nowMs);
      for (const { act } of due) act();
      for (let each = random(); each < arrivals; each += 1) {
        this.#harmless += 1;
        this.#send(`harmless-${this.#harmless}`, 0);
      }
      for (let each = 0; each < crashing; each += 1) {
        const isDue = random() < STEP_MS / crashingIntervalMs;
        if (isDue) this.#send(`crashing-${each}`, 0);
      }
      if (random() < ownEndsPerSecond * STEP_MS / 1_000) {
        this.#end(Math.floor(random() * targets));
      }
      this.#targets.forEach((target, index) => this.#runTarget(target, index));
      if (this.#nowMs % SETTLE_INTERVAL_MS === 0) this.#publish();
    }
    return {
      mostLateSends: Math.max(0, ...this.#lateSends.values()),
      harmless: this.#harmless,
      refusedHarmless: this.#refused.size,
      crashes: [...this.#crashesAtMs.values()]
        .reduce((sum, each) => sum + each.length, 0),
    };
  }

  #publish(): void {
    const { requests, trials } = this.#attribution.settle(this.#nowMs);
    for (const notice of [...requests, ...trials]) {
      this.#schedule(MESSAGE_MS, () => {
        this.#blocked.apply(notice, this.#nowMs);
      });
    }
  }

  #schedule(delayMs: number, act: () => void): void {
    this.#pending.push({ atMs: this.#nowMs + delayMs, act });
  }

  #send(fingerprint: string, crashes: number): void {
    const { random, gateways } = this.#options;
    if (
      this.#blocked.find(buildFingerprint(fingerprint), this.#nowMs) !==
        undefined
    ) {
      if (isHarmless(fingerprint)) this.#refused.add(fingerprint);
      return;
    }
    const target = this.#chooseTarget(fingerprint, crashes);
    if (target === undefined) {
      if (!isHarmless(fingerprint) || this.#options.isSticky !== true) return;
      return this.#schedule(
        RETURN_MS,
        () => this.#send(fingerprint, crashes),
      );
    }
    const thirdAtMs = this.#crashesAtMs.get(fingerprint)?.[2];
    if (thirdAtMs !== undefined && this.#nowMs > thirdAtMs + CONTACT_MS) {
      const late = this.#lateSends.get(fingerprint) ?? 0;
      this.#lateSends.set(fingerprint, late + 1);
    }
    const runMs = isHarmless(fingerprint) ? RUN_MS : CRASH_AFTER_MS;
    target.runs.push({
      fingerprint,
      gateway: Math.floor(random() * gateways),
      endAtMs: this.#nowMs + runMs,
      crashes,
    });
  }

  #chooseTarget(
    fingerprint: string,
    crashes: number,
  ): SimulatedTarget | undefined {
    const { random, isSticky } = this.#options;
    const trial = this.#blocked.findTrial(
      buildFingerprint(fingerprint),
      this.#nowMs,
    );
    const up = this.#targets.filter(({ upAtMs }, index) =>
      upAtMs <= this.#nowMs && trial?.address !== `${index}`
    );
    if (isSticky === true) {
      const index = computeHash(fingerprint) % this.#targets.length;
      const preferred = this.#targets[index];
      const free = up.filter(({ runs }) => runs.length < SLOTS);
      return free.find((each) => each === preferred) ?? free[0];
    }
    const [first, second] = [random(), random()]
      .map((value) => up[Math.floor(value * up.length)]);
    if (first === undefined || second === undefined) return undefined;
    // A request that has met an end is sent where the least runs.
    return (crashes > 0 ? up : [first, second])
      .reduce((a, b) => a.runs.length <= b.runs.length ? a : b);
  }

  #runTarget(target: SimulatedTarget, index: number): void {
    const done = target.runs.filter(({ endAtMs }) => endAtMs <= this.#nowMs);
    const cause = done.find(({ fingerprint }) => !isHarmless(fingerprint));
    if (cause !== undefined) {
      const atMs = this.#crashesAtMs.get(cause.fingerprint) ?? [];
      this.#crashesAtMs.set(cause.fingerprint, [...atMs, this.#nowMs]);
      return this.#end(index);
    }
    target.runs = target.runs.filter(({ endAtMs }) => endAtMs > this.#nowMs);
  }

  /** Ends a target: its gateways report, and send what ran there again. */
  #end(index: number): void {
    const target = this.#targets[index];
    if (target === undefined || target.upAtMs > this.#nowMs) return;
    const { runs, incarnation } = target;
    target.runs = [];
    target.incarnation += 1;
    target.upAtMs = this.#nowMs + RESTART_MS;
    for (const gateway of new Set(runs.map((run) => run.gateway))) {
      const requests = runs.filter((run) => run.gateway === gateway)
        .map(({ fingerprint }) => buildFingerprint(fingerprint));
      const delayMs = this.#options.random() * MESSAGE_MS;
      this.#schedule(delayMs, () =>
        this.#attribution.record({
          service: "s",
          incarnation: `${index}-${incarnation}`,
          address: `${index}`,
          requests,
          ageMs: delayMs,
        }, this.#nowMs));
    }
    for (const { fingerprint, crashes } of runs) {
      const isGivenUp = crashes + 1 >= MAX_CRASHES_PER_ATTEMPT;
      this.#schedule(
        isGivenUp ? RETURN_MS : STEP_MS,
        () => this.#send(fingerprint, isGivenUp ? 0 : crashes + 1),
      );
    }
  }
}

/** Each request is about something else. */
function buildFingerprint(request: string): Fingerprint {
  return { request, resource: `about ${request}` };
}

function isHarmless(fingerprint: string): boolean {
  return fingerprint.startsWith("harmless");
}
