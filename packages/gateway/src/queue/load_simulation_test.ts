/**
 * Replays a load on gateways and targets in virtual time, with the queue or
 * with what it replaced: a poll every 25 ms in no order.
 */
import { RandomSource } from "@camphorlock/scheduler/random";
import { TrackedTarget } from "../decisions/target_table.ts";
import type { PlacementChoice } from "../placement/work_estimate.ts";
import { computeLateAfterMs } from "./queue_rules.ts";
import type { QueuedRequest } from "./queued_request.ts";
import { ServiceQueue, type SettledRequest } from "./service_queue.ts";

/** Age of the view of the targets' work, which all gateways share. */
const VIEW_MS = 100;
const POLL_MS = 25;
const POLL_SHARE = 0.4;
const POLL_RETRY_MS = 150;
const MAX_RETURNS = 2;

/** One call of a load. */
export interface Call {
  readonly atMs: number;
  readonly tenant: string;
  readonly rank: number;
  readonly kind: string;
  readonly workMs: number;
  /** What the gateways expect of its work; they don't know heavy tails. */
  readonly expectedMs: number;
  readonly objectiveMs: number;
  readonly limitMs: number;
  readonly hasBegun?: boolean;
}

/** What became of a call. */
export interface Result {
  readonly call: Call;
  startedAtMs: number | undefined;
  endedAtMs: number | undefined;
  refusals: number;
}

/** The load, the fleet, and which decisions are replayed. */
export interface Replay {
  readonly policy: "queue" | "poll";
  readonly calls: readonly Call[];
  readonly gateways: number;
  readonly classes: number;
  readonly speeds: readonly number[];
  readonly slots: number;
  readonly maxQueued: number;
  readonly untilMs: number;
  /** When half of the targets are lost. */
  readonly lossAtMs?: number;
}

interface Visit extends QueuedRequest {
  readonly result: Result;
  readonly gateway: number;
}

class SimulatedTarget {
  readonly speed: number;
  readonly running: { visit: Visit; endsAtMs: number }[] = [];
  readonly queued: Visit[] = [];
  isLost = false;
  viewedWorkMs = 0;

  constructor(speed: number) {
    this.speed = speed;
  }

  measureWorkMs(nowMs: number): number {
    const running = this.running.reduce(
      (sum, { endsAtMs }) => sum + endsAtMs - nowMs,
      0,
    );
    return running + this.queued.reduce(
      (sum, { workMs }) => sum + workMs / this.speed,
      0,
    );
  }
}

/** Replays one load. */
export class LoadSimulation {
  readonly #replay: Replay;
  readonly #random = new RandomSource(11);
  readonly #targets: SimulatedTarget[];
  readonly #queues: ServiceQueue<Visit>[];
  readonly #stepAtMs: number[];
  /** Targets as each gateway tracks them, and the work it sent since the view. */
  readonly #tracked: TrackedTarget[][];
  readonly #sentMs: number[][];
  readonly #returns = new Map<number, Visit[]>();
  readonly #polling: { visit: Visit; atMs: number }[] = [];
  readonly results: Result[] = [];
  #nowMs = 0;
  #sequence = 0;

  constructor(replay: Replay) {
    this.#replay = replay;
    const { gateways, speeds } = replay;
    this.#targets = speeds.map((speed) => new SimulatedTarget(speed));
    const each = Array.from({ length: gateways }, (_, index) => index);
    this.#queues = each.map((seed) =>
      new ServiceQueue(new RandomSource(seed + 1))
    );
    this.#stepAtMs = each.map(() => Number.POSITIVE_INFINITY);
    this.#tracked = each.map(() =>
      speeds.map((_, index) => buildTracked(String(index), replay.slots))
    );
    this.#sentMs = each.map(() => speeds.map(() => 0));
  }

  /** Runs to the end and returns what became of each call. */
  run(): Result[] {
    const calls = [...this.#replay.calls].sort((a, b) => a.atMs - b.atMs);
    let next = 0;
    for (; this.#nowMs < this.#replay.untilMs; this.#nowMs += 1) {
      if (this.#nowMs === this.#replay.lossAtMs) this.#loseHalf();
      if (this.#nowMs % VIEW_MS === 0) this.#updateView();
      for (const target of this.#targets) this.#runTarget(target);
      for (; (calls[next]?.atMs ?? Infinity) <= this.#nowMs; next += 1) {
        this.#begin(calls[next] as Call);
      }
      const returning = this.#returns.get(this.#nowMs) ?? [];
      this.#returns.delete(this.#nowMs);
      for (const visit of returning) this.#arrive(visit);
      this.#runQueues();
    }
    return this.results;
  }

  #begin(call: Call): void {
    const result: Result = {
      call,
      startedAtMs: undefined,
      endedAtMs: undefined,
      refusals: 0,
    };
    this.results.push(result);
    this.#arrive(this.#buildVisit(result));
  }

  #buildVisit(result: Result): Visit {
    const { call } = result;
    const gateway = this.#random.takeIndex(this.#replay.gateways);
    const deadlineAtMs = call.atMs + call.limitMs;
    const visit: Visit = {
      result,
      gateway,
      sequence: this.#sequence += 1,
      tenant: call.tenant,
      rank: call.rank,
      hasBegun: call.hasBegun === true,
      isLong: call.expectedMs > call.objectiveMs / 2,
      workMs: call.expectedMs,
      dueAtMs: deadlineAtMs,
      lateAtMs: call.atMs + computeLateAfterMs({
        classes: this.#replay.classes,
        targetLatencyMs: call.objectiveMs,
      }, call.expectedMs),
      targetLatencyMs: call.objectiveMs,
      classes: this.#replay.classes,
      isOrdered: true,
      deadlineAtMs,
      latestStartMs: deadlineAtMs - 20,
      canBeRefused: () => true,
      isConstrained: () => false,
      findTarget: () => this.#findTarget(visit, new Set()),
    };
    return visit;
  }

  #arrive(visit: Visit): void {
    if (this.#replay.policy === "poll") return this.#poll(visit);
    const queue = this.#queues[visit.gateway] as ServiceQueue<Visit>;
    queue.recordOffered(visit, this.#nowMs);
    this.#offer(visit, this.#findTarget(visit, new Set()));
  }

  #offer(visit: Visit, choice: PlacementChoice | undefined): void {
    const queue = this.#queues[visit.gateway] as ServiceQueue<Visit>;
    this.#settle(queue.add(visit, choice, this.#nowMs));
    if (choice !== undefined) this.#stepAtMs[visit.gateway] = this.#nowMs;
    else this.#scheduleStep(visit.gateway);
  }

  #runQueues(): void {
    this.#queues.forEach((queue, gateway) => {
      if ((this.#stepAtMs[gateway] ?? 0) > this.#nowMs) return;
      for (let steps = 0; steps < 50; steps += 1) {
        const settled = queue.runStep(this.#nowMs);
        this.#settle(settled);
        if (settled.length === 0) break;
      }
      this.#scheduleStep(gateway);
    });
    const due = this.#polling.filter(({ atMs }) => atMs <= this.#nowMs);
    for (const entry of due) {
      this.#polling.splice(this.#polling.indexOf(entry), 1);
      this.#poll(entry.visit);
    }
  }

  #scheduleStep(gateway: number): void {
    const queue = this.#queues[gateway] as ServiceQueue<Visit>;
    const inMs = Math.max(1, Math.ceil(queue.countNextStepMs()));
    this.#stepAtMs[gateway] = this.#nowMs + inMs;
  }

  #settle(settled: readonly SettledRequest<Visit>[]): void {
    for (const { request, decision } of settled) {
      if (decision.kind === "refuse") {
        this.#refuse(request, decision.retryAfterMs);
      } else if (decision.kind === "go") {
        const full = new Set<string>();
        if (this.#send(request, decision.choice, full)) continue;
        const queue = this.#queues[request.gateway] as ServiceQueue<Visit>;
        queue.recordRejected(request, this.#nowMs);
        this.#offer(request, undefined);
      } else this.#refuse(request, POLL_RETRY_MS);
    }
  }

  #poll(visit: Visit): void {
    const choice = this.#findTarget(visit, new Set());
    if (choice !== undefined && this.#send(visit, choice, new Set())) return;
    const { atMs, limitMs } = visit.result.call;
    if (this.#nowMs - atMs >= limitMs * POLL_SHARE) {
      return this.#refuse(visit, POLL_RETRY_MS);
    }
    this.#polling.push({ visit, atMs: this.#nowMs + POLL_MS });
  }

  /** Sends a call to a target, and to the others while they're full. */
  #send(visit: Visit, first: PlacementChoice, full: Set<string>): boolean {
    let choice: PlacementChoice | undefined = first;
    while (choice !== undefined) {
      const index = Number(choice.entry.target.id);
      const target = this.#targets[index] as SimulatedTarget;
      if (target.queued.length < this.#replay.maxQueued) {
        const sent = this.#sentMs[visit.gateway] as number[];
        sent[index] = (sent[index] ?? 0) + visit.workMs;
        choice.entry.running += 1;
        target.queued.push(visit);
        this.#runTarget(target);
        return true;
      }
      full.add(choice.entry.target.id);
      choice = this.#findTarget(visit, full);
    }
    return false;
  }

  #refuse({ result }: Visit, retryAfterMs: number): void {
    result.refusals += 1;
    const { atMs, limitMs } = result.call;
    const leftMs = atMs + limitMs - this.#nowMs;
    if (result.refusals > MAX_RETURNS || leftMs < 20) return;
    const inMs = Math.ceil(Math.min(Math.max(1, retryAfterMs), leftMs / 3));
    const at = this.#nowMs + inMs;
    const others = this.#returns.get(at) ?? [];
    this.#returns.set(at, [...others, this.#buildVisit(result)]);
  }

  #findTarget(
    visit: Visit,
    full: ReadonlySet<string>,
  ): PlacementChoice | undefined {
    let best: PlacementChoice | undefined;
    const usable = this.#targets.map((_, index) => index).filter((index) =>
      !this.#targets[index]?.isLost && !full.has(String(index))
    );
    // The best of two at random, since all gateways see the same view.
    for (let sample = 0; sample < 2 && usable.length > 0; sample += 1) {
      const [index = 0] = usable.splice(
        this.#random.takeIndex(usable.length),
        1,
      );
      const target = this.#targets[index] as SimulatedTarget;
      const entry = this.#tracked[visit.gateway]?.[index] as TrackedTarget;
      const sentMs = this.#sentMs[visit.gateway]?.[index] ?? 0;
      const waitMs = (target.viewedWorkMs + sentMs / target.speed) /
        this.#replay.slots;
      const runMs = visit.workMs / target.speed;
      const totalMs = waitMs + runMs;
      if (best !== undefined && best.estimate.totalMs <= totalMs) continue;
      const estimate = { waitMs, readMs: 0, runMs, networkMs: 0, totalMs };
      best = { entry, estimate: { ...estimate, tokens: 0 } };
    }
    return best;
  }

  #runTarget(target: SimulatedTarget): void {
    const ended = target.running.filter(({ endsAtMs }) =>
      endsAtMs <= this.#nowMs
    );
    for (const each of ended) {
      target.running.splice(target.running.indexOf(each), 1);
      each.visit.result.endedAtMs = this.#nowMs;
      this.#recordRoom(target, each.visit);
    }
    const { slots } = this.#replay;
    while (target.running.length < slots && target.queued.length > 0) {
      const visit = target.queued.shift() as Visit;
      if (visit.deadlineAtMs <= this.#nowMs) {
        this.#recordRoom(target, visit);
        continue;
      }
      const { result } = visit;
      result.startedAtMs = this.#nowMs;
      const endsAtMs = this.#nowMs + result.call.workMs / target.speed;
      target.running.push({ visit, endsAtMs });
    }
  }

  #recordRoom(target: SimulatedTarget, { gateway }: Visit): void {
    const index = this.#targets.indexOf(target);
    const entry = this.#tracked[gateway]?.[index] as TrackedTarget;
    entry.running -= 1;
    this.#stepAtMs[gateway] = this.#nowMs;
  }

  #updateView(): void {
    for (const target of this.#targets) {
      target.viewedWorkMs = target.measureWorkMs(this.#nowMs);
    }
    for (const sent of this.#sentMs) sent.fill(0);
  }

  #loseHalf(): void {
    this.#targets.forEach((target, index) => {
      if (index % 2 === 0) return;
      target.isLost = true;
      target.queued.length = 0;
      target.running.length = 0;
    });
  }
}

function buildTracked(id: string, slots: number): TrackedTarget {
  return new TrackedTarget({
    id,
    service: "s",
    host: "127.0.0.1",
    port: 1,
    failureDomain: "a",
    state: "ready",
    version: "v1",
    slots,
    startedAtMs: 1,
  });
}
