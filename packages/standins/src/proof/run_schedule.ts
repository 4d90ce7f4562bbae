/**
 * Runs programs on a virtual fleet under a random schedule of faults, and
 * collects what the checks read.
 */
import type { CallerRequest } from "@camphorlock/types";
import { VirtualFleet, type VirtualRequest } from "../fleet/virtual_fleet.ts";
import {
  buildSchedule,
  type PlannedEvent,
  startSchedule,
} from "./fault_schedule.ts";
import { RandomSource } from "./random_source.ts";
import type { ReadProgram, RunHistory } from "./run_history.ts";
import { VirtualCaller } from "./virtual_caller.ts";

const NODE_COUNT = 5;
const ENGINE_COUNT = 3;
const SERVICE_COUNT = 2;
const SHARD_COUNT = 6;
const CALLER_COUNT = 5;
const CALL_COUNT = 12;
const ORDER_PERCENT = 40;
const BUDGET_MICROS = { low: 4_000, high: 60_000 } as const;
const FAULTS_MS = 40_000;
const START_LIMIT_MS = 60_000;
const SETTLE_LIMIT_MS = 180_000;
const AFTER_MS = 20_000;
const READ_LIMIT_MS = 20_000;

/** A run and the faults that it met. */
export interface ScheduleRun {
  readonly history: RunHistory;
  readonly events: readonly PlannedEvent[];
}

/** Runs one seed. The same seed always gives the same run. */
export function runSchedule(seed: number): ScheduleRun {
  const random = new RandomSource(seed);
  const fleet = new VirtualFleet({
    seed,
    nodeCount: NODE_COUNT,
    engineCount: ENGINE_COUNT,
    serviceCount: SERVICE_COUNT,
    shardCount: SHARD_COUNT,
  });
  fleet.waitServing(START_LIMIT_MS);
  const callers = createCallers(fleet, random);
  for (const caller of callers) caller.start();
  const events = buildSchedule(random, {
    vmIds: [...fleet.nodes.keys()],
    targetIds: listTargets(),
    lengthMs: FAULTS_MS,
  });
  startSchedule(fleet, events);
  fleet.clock.runFor(FAULTS_MS);
  const areDone = (): boolean => callers.every((caller) => caller.isEnded);
  fleet.clock.runUntil(areDone, SETTLE_LIMIT_MS);
  fleet.clock.runFor(AFTER_MS);
  return { history: collectHistory(fleet, callers, seed), events };
}

function createCallers(
  fleet: VirtualFleet,
  random: RandomSource,
): VirtualCaller[] {
  return Array.from({ length: CALLER_COUNT }, (_, number) => {
    return new VirtualCaller(fleet, random, {
      number,
      shard: random.take(0, SHARD_COUNT - 1),
      callCount: CALL_COUNT,
      budgetMicros: random.take(BUDGET_MICROS.low, BUDGET_MICROS.high),
      orderPercent: ORDER_PERCENT,
    });
  });
}

function listTargets(): string[] {
  const engines = Array.from({ length: ENGINE_COUNT }, (_, at) => {
    return `engine-${at + 1}`;
  });
  const services = Array.from({ length: SERVICE_COUNT }, (_, at) => {
    return `service-${at + 1}`;
  });
  return [...engines, ...services];
}

/** Collects the records of callers, targets and nodes after a run. */
export function collectHistory(
  fleet: VirtualFleet,
  callers: readonly VirtualCaller[],
  seed: number,
): RunHistory {
  const programs = callers.map((caller) => readProgram(fleet, caller));
  const ended = new Set(
    callers.filter((caller) => caller.isEnded)
      .map((caller) => caller.spec.programId),
  );
  return {
    seed,
    endedAtMs: fleet.clock.nowMs,
    calls: callers.flatMap((caller) => caller.calls),
    requests: fleet.requests,
    runs: fleet.targets.runs,
    programs,
    heldAfterEnd: listTargets().flatMap((targetId) =>
      fleet.targets.listHeld(targetId)
        .filter((programId) => ended.has(programId))
        .map((programId) => ({ targetId, programId }))
    ),
    forced: fleet.notices.flatMap(({ vmId, atMs, notice }) =>
      notice.kind === "in_force"
        ? [{ vmId, atMs, revision: notice.revision }]
        : []
    ),
    accepted: fleet.notices.flatMap(({ atMs, notice }) =>
      notice.kind === "change_accepted"
        ? [{ atMs, revision: notice.revision }]
        : []
    ),
    leaving: [],
    finalRevisions: [...fleet.nodes.values()]
      .filter((node) => !node.isEnded)
      .map((node) => ({
        vmId: node.spec.vmId,
        atMs: fleet.clock.nowMs,
        revision: node.core.revision,
      })),
    gracefulRequests: [],
  };
}

function readProgram(
  fleet: VirtualFleet,
  caller: VirtualCaller,
): ReadProgram {
  const { programId, budgetMicros } = caller.spec;
  const view = sendRead(fleet, { kind: "show_program", programId })
    .answers.at(-1);
  const items = sendRead(fleet, { kind: "read_history", programId })
    .answers.at(-1);
  return {
    programId,
    budgetMicros,
    ...(view?.kind === "program" ? { view: view.program } : {}),
    ...(items?.kind === "history" ? { items: items.items } : {}),
  };
}

function sendRead(fleet: VirtualFleet, request: CallerRequest): VirtualRequest {
  const node = [...fleet.nodes.values()].find((each) =>
    !each.isEnded && each.core.checkReady(fleet.clock.nowMs).isOk()
  );
  const sent = fleet.send(node?.spec.vmId ?? "vm-1", request);
  fleet.waitEnded(sent, READ_LIMIT_MS);
  return sent;
}
