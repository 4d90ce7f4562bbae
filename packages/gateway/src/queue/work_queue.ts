/**
 * The queues of a gateway, one per service. A request takes its turn here
 * before its first attempt, and again when every target has rejected it.
 *
 * A queue is looked at when a target has answered a request of this gateway,
 * when the targets or what is known of them changed, and after the time in
 * which the first in order is expected to get its place, 25 ms at most.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import { RandomSource } from "@camphorlock/scheduler/random";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import { BoundedMap } from "../model/bounded_map.ts";
import type { RoutingConfiguration } from "../model/routing.ts";
import type { PlacementChoice } from "../placement/work_estimate.ts";
import type { QueueDecision, QueuedRequest } from "./queued_request.ts";
import { MAX_STEP_MS } from "./release_gate.ts";
import {
  computeClasses,
  NO_CLASSES,
  type ServiceClasses,
} from "./service_classes.ts";
import { ServiceQueue, type SettledRequest } from "./service_queue.ts";

/** Programs that are remembered to have begun: some minutes of new programs. */
const MAX_PROGRAMS = 10_000;
/**
 * Part by which a wait for the next step varies. All gateways see the same
 * place become free, and shouldn't all fill it.
 */
const STEP_JITTER = 0.5;

/** Dependencies of the queues. */
export interface WorkQueueDependencies {
  readonly vmId: string;
  readonly metrics: GatewayMetrics;
  /** The configuration in force. */
  findConfiguration(): RoutingConfiguration | undefined;
}

/** The queue's answer to a request. */
export type QueueAnswer =
  | QueueDecision
  /** Its owner ended the wait. */
  | { readonly kind: "cancelled" };

type Resolve = (answer: QueueAnswer) => void;

interface ServiceState {
  readonly name: string;
  readonly queue: ServiceQueue<QueuedRequest>;
  timer: NodeJS.Timeout | undefined;
  immediate: NodeJS.Immediate | undefined;
}

/** The queues of one gateway. */
export class WorkQueue {
  readonly #dependencies: WorkQueueDependencies;
  readonly #random: RandomSource;
  readonly #services = new Map<string, ServiceState>();
  readonly #resolvers = new Map<QueuedRequest, Resolve>();
  readonly #programs = new BoundedMap<string, true>(MAX_PROGRAMS);
  readonly #classes = new Map<string, ServiceClasses>();
  #classesOf: RoutingConfiguration | undefined;
  #sequence = 0;

  constructor(dependencies: WorkQueueDependencies) {
    this.#dependencies = dependencies;
    this.#random = new RandomSource(computeHash(dependencies.vmId));
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#resolvers.size;
  }

  /** Takes the next number in the order of arrival. */
  takeSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }

  /** Whether this gateway has sent a request of the program to a target. */
  hasProgramBegun(programId: string): boolean {
    return this.#programs.has(programId);
  }

  /** Gets the classes of a service in the configuration in force. */
  getClasses(service: string): ServiceClasses {
    const configuration = this.#dependencies.findConfiguration();
    if (configuration === undefined) return NO_CLASSES;
    if (configuration !== this.#classesOf) this.#classes.clear();
    this.#classesOf = configuration;
    const known = this.#classes.get(service);
    if (known !== undefined) return known;
    const classes = computeClasses(configuration, service);
    this.#classes.set(service, classes);
    return classes;
  }

  /** Records the arrival of a request. */
  recordOffered(service: string, request: QueuedRequest): void {
    this.#getService(service).queue.recordOffered(request, performance.now());
  }

  /** Records that every target rejected a request that had its turn. */
  recordRejected(service: string, request: QueuedRequest): void {
    this.#getService(service).queue.recordRejected(request, performance.now());
  }

  /** Records that a request goes to a target. */
  recordProgram(programId: string | undefined): void {
    if (programId !== undefined) this.#programs.set(programId, true);
  }

  /** Waits for a request's turn; at once if nothing holds it back. */
  waitForTurn(
    service: string,
    request: QueuedRequest,
    choice: PlacementChoice | undefined,
  ): Promise<QueueAnswer> {
    const state = this.#getService(service);
    return new Promise((resolve) => {
      this.#resolvers.set(request, resolve);
      const nowMs = performance.now();
      this.#settle(state.queue.add(request, choice, nowMs));
      if (!this.#resolvers.has(request)) return;
      this.#dependencies.metrics.add("requests_queued");
      // The search that found a place has to serve those before it first.
      if (choice !== undefined) this.#scheduleSoon(state);
      this.#scheduleNext(state);
    });
  }

  /** Ends the wait of a request, if it waits. */
  cancel(service: string, request: QueuedRequest): void {
    const state = this.#getService(service);
    if (!state.queue.remove(request, performance.now())) return;
    this.#answer(request, { kind: "cancelled" });
  }

  /** Looks at the queue of a service whose targets may have room. */
  recordRoom(service: string): void {
    const state = this.#services.get(service);
    if (state !== undefined && state.queue.size > 0) this.#scheduleSoon(state);
  }

  #getService(name: string): ServiceState {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const state: ServiceState = {
      name,
      queue: new ServiceQueue(this.#random),
      timer: undefined,
      immediate: undefined,
    };
    this.#services.set(name, state);
    return state;
  }

  #runStep(state: ServiceState): void {
    const { queue } = state;
    const promotionsBefore = queue.promotions;
    const settled = queue.runStep(performance.now());
    const { metrics } = this.#dependencies;
    metrics.add("queue_promotions", queue.promotions - promotionsBefore);
    this.#settle(settled);
    // After a release, the next one is decided with that one at its target.
    if (settled.length > 0 && queue.size > 0) this.#scheduleSoon(state);
    this.#scheduleNext(state);
  }

  #settle(settled: readonly SettledRequest<QueuedRequest>[]): void {
    for (const { request, decision } of settled) {
      this.#answer(request, decision);
    }
  }

  #answer(request: QueuedRequest, answer: QueueAnswer): void {
    const resolve = this.#resolvers.get(request);
    this.#resolvers.delete(request);
    resolve?.(answer);
  }

  #scheduleSoon(state: ServiceState): void {
    state.immediate ??= setImmediate(() => {
      state.immediate = undefined;
      this.#runStep(state);
    });
  }

  #scheduleNext(state: ServiceState): void {
    clearTimeout(state.timer);
    state.timer = undefined;
    const nextMs = state.queue.countNextStepMs();
    if (!Number.isFinite(nextMs)) return;
    const jitter = 1 + this.#random.takeFloat() * STEP_JITTER;
    const delayMs = Math.min(MAX_STEP_MS, Math.ceil(nextMs * jitter));
    state.timer = setTimeout(() => this.#runStep(state), delayMs);
  }
}
