import { computeHash } from "@camphorlock/scheduler/hash";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { AttemptWork } from "../decisions/held_work.ts";
import { TargetTable, type TrackedTarget } from "../decisions/target_table.ts";
import { LoadCollector } from "../load/load_collector.ts";
import { LoadReporter } from "../load/load_reporter.ts";
import { LoadView } from "../load/load_view.ts";
import type { Service } from "../model/routing.ts";
import { placeRequest } from "./choose_target.ts";
import { Placement } from "./placement.ts";
import {
  type EngineOptions,
  Schedule,
  SimulatedEngine,
} from "./simulated_engines_test.ts";
import type { PlacedRequest } from "./work_inputs.ts";

const REPORT_INTERVAL_MS = 200;
const REGION_LATENCY_MS = 8;
const DOMAINS = 6;

/** Which decisions are replayed. */
export type Decisions = "fixed" | "own" | "view";

/** A load and the engines that it runs at. */
export interface SimulationOptions extends EngineOptions {
  readonly decisions: Decisions;
  readonly gateways: number;
  readonly engines: number;
  readonly speeds: (engine: number, nowMs: number) => number;
  /** Share of the capacity at speed 1 that arrives. */
  readonly load: number;
  readonly sharedParts: number;
  readonly events: number;
  readonly tokensPerEvent: number;
  /** Duration of a plain call from a random number; turns without. */
  readonly callMs?: (random: number) => number;
  readonly durationMs: number;
  /** Whether the collector answers at a time. */
  readonly hasCollector?: (nowMs: number) => boolean;
  /** Extra age of each view. */
  readonly lagMs?: number;
  /** Share of the requests that arrive at the gateways of one domain. */
  readonly hotDomainShare?: number;
  readonly seed: number;
}

/** What callers and engines see. */
export interface SimulationResult {
  readonly meanMs: number;
  readonly lateMs: number;
  /** Mean of the requests that arrived in the last half. */
  readonly laterMeanMs: number;
  readonly readTokens: number;
  readonly longestQueue: number;
  /** Requests by engine. */
  readonly requests: readonly number[];
}

interface SimulatedGateway {
  readonly vmId: string;
  readonly domain: number;
  readonly table: TargetTable;
  readonly placement: Placement;
  readonly reporter: LoadReporter;
  readonly view: LoadView;
}

const REGIONS = new Map(
  Array.from(
    { length: DOMAINS },
    (_, domain) => [`d${domain}`, `r${domain % 3}`] as const,
  ),
);

/** Replays a load in virtual time. */
export class Simulation {
  readonly #options: SimulationOptions;
  readonly #schedule = new Schedule();
  readonly #engines: SimulatedEngine[];
  readonly #gateways: SimulatedGateway[];
  readonly #collector: LoadCollector;
  readonly #random;
  readonly #durations: { atMs: number; ms: number }[] = [];
  readonly #requests: number[];
  readonly #service: Service;
  #sent = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    const { memoryTokens, tokensPerEvent } = options;
    this.#service = {
      name: "s",
      maxConnections: 1_000,
      tokensPerEvent: options.callMs === undefined ? tokensPerEvent : 0,
      memoryTokens,
    };
    this.#engines = Array.from(
      { length: options.engines },
      () => new SimulatedEngine(this.#schedule, options),
    );
    this.#requests = this.#engines.map(() => 0);
    this.#collector = new LoadCollector(() => memoryTokens);
    this.#gateways = Array.from(
      { length: options.gateways },
      (_, index) => this.#buildGateway(index),
    );
  }

  run(): SimulationResult {
    const { durationMs, engines, speeds } = this.#options;
    for (let atMs = 0; atMs < durationMs; atMs += 50) {
      this.#schedule.add(atMs, () => {
        for (let engine = 0; engine < engines; engine += 1) {
          const simulated = this.#engines[engine];
          if (simulated !== undefined) simulated.speed = speeds(engine, atMs);
        }
      });
    }
    this.#scheduleArrivals();
    if (this.#options.decisions === "view") this.#scheduleReports();
    this.#schedule.run();
    return this.#buildResult();
  }

  takeRandom(): number {
    return (this.#random.next() >>> 0) / 2 ** 32;
  }

  #buildGateway(index: number): SimulatedGateway {
    const table = new TargetTable();
    const { engines, slots } = this.#options;
    for (let engine = 0; engine < engines; engine += 1) {
      table.set({
        id: `t${engine}`,
        service: "s",
        host: "127.0.0.1",
        port: engine,
        failureDomain: `d${engine % DOMAINS}`,
        state: "ready",
        version: "v1",
        slots,
        startedAtMs: 1,
      });
    }
    const view = new LoadView((id) => table.find(id)?.target);
    const vmId = `g${index}`;
    const domain = index % DOMAINS;
    const placement: Placement = new Placement({
      policy: "learned",
      vmId,
      failureDomain: `d${domain}`,
      regions: REGIONS,
      targets: table,
      findService: () => this.#service,
      load: view,
      onStart: (entry, nowMs) => reporter.recordStart(entry, nowMs),
      takeRandom: () => this.takeRandom(),
    });
    const reporter = new LoadReporter(placement.model);
    return { vmId, domain, table, placement, reporter, view };
  }

  #scheduleArrivals(): void {
    const { engines, slots, load, durationMs, events } = this.#options;
    const { tokensPerEvent, stepMs, callMs } = this.#options;
    const sizes = Array.from({ length: 1_000 }, (_, at) => (at + 0.5) / 1_000);
    const workMs = callMs === undefined
      ? events * tokensPerEvent * stepMs +
        1_260 / this.#options.prefillTokensPerMs
      : sizes.reduce((sum, at) => sum + callMs(at), 0) / sizes.length;
    const perMs = engines * slots * load / workMs;
    for (let atMs = 0; atMs < durationMs;) {
      atMs += -Math.log(1 - this.takeRandom()) / perMs;
      this.#schedule.add(atMs, () => this.#send());
    }
  }

  #scheduleReports(): void {
    const { durationMs, hasCollector, lagMs = 0 } = this.#options;
    for (const gateway of this.#gateways) {
      const { vmId, reporter, view, placement } = gateway;
      let atMs = computeHash(vmId) % REPORT_INTERVAL_MS;
      for (; atMs < durationMs; atMs += REPORT_INTERVAL_MS) {
        const sentAtMs = atMs;
        this.#schedule.add(sentAtMs, () => {
          if (hasCollector?.(sentAtMs) === false) return;
          const answer = this.#collector.answer(vmId, {
            targets: reporter.take(sentAtMs),
            wanted: placement.listUsedTargets(sentAtMs),
          }, sentAtMs);
          const delayMs = REGION_LATENCY_MS + lagMs;
          this.#schedule.add(
            sentAtMs + delayMs,
            () => view.set(answer, sentAtMs),
          );
        });
      }
    }
  }

  #chooseGateway(): SimulatedGateway | undefined {
    const { hotDomainShare = 0 } = this.#options;
    const isHot = this.takeRandom() < hotDomainShare;
    const gateways = isHot
      ? this.#gateways.filter(({ domain }) => domain === 0)
      : this.#gateways;
    return gateways[Math.floor(this.takeRandom() * gateways.length)];
  }

  #send(): void {
    const { sharedParts, events, tokensPerEvent, callMs } = this.#options;
    const gateway = this.#chooseGateway();
    if (gateway === undefined) return;
    this.#sent += 1;
    const requestId = `q${this.#sent}`;
    const part = Math.floor(this.takeRandom() * sharedParts);
    const outputTokens = events * tokensPerEvent;
    const request: PlacedRequest = {
      fields: {
        prompt: callMs === undefined
          ? [{ id: `shared${part}`, tokens: 12_600 }, {
            id: requestId,
            tokens: 840 + Math.floor(this.takeRandom() * 840),
          }]
          : [],
        affinityKey: undefined,
        promptTokens: undefined,
        maxOutputTokens: callMs === undefined ? outputTokens : undefined,
        outputHint: undefined,
        resumeAfter: 0,
        programId: undefined,
        sessionId: undefined,
      },
      route: {
        name: "r",
        kind: callMs === undefined ? "streaming" : "idempotent",
      },
    };
    const work = callMs?.(this.takeRandom());
    this.#place(gateway, request, { requestId, outputTokens, callMs: work });
  }

  #place(
    gateway: SimulatedGateway,
    request: PlacedRequest,
    { requestId, outputTokens, callMs }: {
      requestId: string;
      outputTokens: number;
      callMs: number | undefined;
    },
  ): void {
    const sentAtMs = this.#schedule.nowMs;
    const { tokensPerEvent, events } = this.#options;
    const { placement } = gateway;
    const entry = this.#choose(gateway, request, requestId);
    if (entry === undefined) {
      // Waits, as a request does that no target can take.
      this.#schedule.add(
        sentAtMs + 25,
        () =>
          this.#place(gateway, request, { requestId, outputTokens, callMs }),
      );
      this.#durations.push({ atMs: sentAtMs, ms: 25 });
      return;
    }
    placement.recordStart(request, entry, sentAtMs);
    const engine = Number(entry.target.id.slice(1));
    this.#requests[engine] = (this.#requests[engine] ?? 0) + 1;
    const oneWayMs = this.#computeLatencyMs(gateway, engine);
    this.#schedule.add(sentAtMs + oneWayMs, () =>
      this.#engines[engine]?.add({
        prompt: request.fields.prompt,
        outputTokens,
        tokensPerEvent,
        ...callMs === undefined ? {} : { callMs },
        onFirst: (atMs) =>
          this.#schedule.add(
            atMs + oneWayMs,
            () => entry.recordFirstResponse(requestId, atMs + oneWayMs),
          ),
        onEnd: (endAtMs) => {
          const atMs = endAtMs + oneWayMs;
          this.#schedule.add(atMs, () => {
            for (let event = 1; event < events; event += 1) {
              entry.recordFirstResponse(requestId, atMs);
            }
            const running = entry.recordAttemptEnd(requestId, atMs);
            this.#durations.push({ atMs: sentAtMs, ms: atMs - sentAtMs });
            if (running === undefined) return;
            const end = callMs === undefined
              ? { kind: "completed" }
              : { kind: "answered", status: 200 };
            placement.learner.recordEnd(request, { entry, running, end }, atMs);
          });
        },
      }));
  }

  #choose(
    { vmId, domain, table, placement }: SimulatedGateway,
    request: PlacedRequest,
    requestId: string,
  ): TrackedTarget | undefined {
    const { nowMs } = this.#schedule;
    const { prompt } = request.fields;
    const choice = this.#options.decisions === "fixed"
      ? placeRequest(table.listReady("s", nowMs), {
        vmId,
        failureDomain: `d${domain}`,
        regions: REGIONS,
        prompt,
        excluded: new Set(),
        nowMs,
      })
      : placement.choose(request, {
        service: "s",
        previousTargetId: undefined,
        isCrashCandidate: false,
        excluded: new Set(),
        avoidedAddress: undefined,
        only: undefined,
        isPaused: () => false,
      }, nowMs);
    if (choice === undefined) return undefined;
    const { entry } = choice;
    entry.recordAttempt(
      requestId,
      nowMs,
      "work" in choice ? { work: choice.work as AttemptWork } : {},
    );
    entry.prefixes.record(prompt);
    return entry;
  }

  #computeLatencyMs({ domain }: SimulatedGateway, engine: number): number {
    const other = engine % DOMAINS;
    if (other === domain) return 0.1;
    return other % 3 === domain % 3 ? 1.4 : REGION_LATENCY_MS;
  }

  #buildResult(): SimulationResult {
    const halfMs = this.#options.durationMs / 2;
    const sorted = this.#durations.map(({ ms }) => ms)
      .sort((left, right) => left - right);
    const later = this.#durations.filter(({ atMs }) => atMs >= halfMs);
    const computeMean = (all: readonly number[]) =>
      all.reduce((sum, ms) => sum + ms, 0) / Math.max(1, all.length);
    return {
      meanMs: computeMean(sorted),
      lateMs: sorted[Math.floor(sorted.length * 0.95)] ?? 0,
      laterMeanMs: computeMean(later.map(({ ms }) => ms)),
      readTokens: this.#engines.reduce((sum, each) => sum + each.readTokens, 0),
      longestQueue: Math.max(
        ...this.#engines.map(({ longestQueue }) => longestQueue),
      ),
      requests: this.#requests,
    };
  }
}
