/**
 * Runs programs on a virtual fleet under a random schedule of faults, and
 * collects what the checks read.
 */
import type { CallerRequest, VmId } from "@camphorlock/types";
import { DEFAULT_NODE_LIMITS } from "@camphorlock/scheduler";
import { VirtualFleet, type VirtualRequest } from "../fleet/virtual_fleet.ts";
import {
  buildSchedule,
  type PlannedEvent,
  startSchedule,
} from "./fault_schedule.ts";
import { RandomSource } from "./random_source.ts";
import type {
  ForcedRevision,
  LeavingTarget,
  ReadProgram,
  RunHistory,
} from "./run_history.ts";
import { VirtualCaller } from "./virtual_caller.ts";

const NODE_COUNT = 5;
const ENGINE_COUNT = 3;
const SERVICE_COUNT = 2;
const SHARD_COUNT = 6;
const CALLER_COUNT = 5;
const CALL_COUNT = 4;
const PROGRAM_COUNT = 3;
const WRITES_PER_SECOND = 4;
const PLACE_TIMEOUT_MS = 5_000;
const ORDER_PERCENT = 40;
const BUDGET_MICROS = { low: 1_500, high: 8_000 } as const;
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
    limits: {
      writesPerSecond: WRITES_PER_SECOND,
      owner: {
        ...DEFAULT_NODE_LIMITS.owner,
        placeTimeoutMs: PLACE_TIMEOUT_MS,
      },
    },
  });
  fleet.waitServing(START_LIMIT_MS);
  const callers: VirtualCaller[] = [];
  for (let line = 0; line < CALLER_COUNT; line++) {
    startCallers(fleet, { random, callers, left: PROGRAM_COUNT });
  }
  const events = buildSchedule(random, {
    vmIds: [...fleet.nodes.keys()],
    targetIds: listTargets(),
    lengthMs: FAULTS_MS,
  });
  startSchedule(fleet, events);
  fleet.clock.runFor(FAULTS_MS);
  const areDone = (): boolean =>
    callers.length === CALLER_COUNT * PROGRAM_COUNT &&
    callers.every((caller) => caller.isEnded);
  fleet.clock.runUntil(areDone, SETTLE_LIMIT_MS);
  fleet.clock.runFor(AFTER_MS);
  return { history: collectHistory(fleet, callers, seed), events };
}

/** Programs that follow one another. */
interface CallerLine {
  readonly random: RandomSource;
  /** Every caller that was started. */
  readonly callers: VirtualCaller[];
  readonly left: number;
}

/** Starts a program, and the next one when it has ended. */
function startCallers(fleet: VirtualFleet, line: CallerLine): void {
  const { random, callers, left } = line;
  if (left === 0) return;
  const caller = new VirtualCaller(fleet, random, {
    number: callers.length,
    shard: random.take(0, SHARD_COUNT - 1),
    callCount: CALL_COUNT,
    budgetMicros: random.take(BUDGET_MICROS.low, BUDGET_MICROS.high),
    orderPercent: ORDER_PERCENT,
  });
  callers.push(caller);
  caller.start(() => startCallers(fleet, { random, callers, left: left - 1 }));
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
    forced: listForced(fleet),
    accepted: fleet.notices.flatMap(({ atMs, notice }) =>
      notice.kind === "change_accepted"
        ? [{ atMs, revision: notice.revision }]
        : []
    ),
    leaving: listLeaving(fleet),
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

/**
 * Lists the revisions that nodes served under. A process that has started
 * reads up to the latest revision before it's ready; until then it serves
 * nobody.
 */
function listForced(fleet: VirtualFleet): ForcedRevision[] {
  const ready = new Map<VmId, number>();
  const forced: ForcedRevision[] = [];
  for (const { vmId, incarnation, atMs, notice } of fleet.notices) {
    if (notice.kind === "cut_off") ready.delete(vmId);
    if (notice.kind === "ready") ready.set(vmId, incarnation);
    if (notice.kind !== "ready" && notice.kind !== "in_force") continue;
    if (ready.get(vmId) !== incarnation) continue;
    forced.push({ vmId, atMs, revision: notice.revision });
  }
  return forced;
}

/**
 * Lists the spans in which targets were leaving. A span ends when its end was
 * ordered, because it may be in force before its acceptance is known.
 */
function listLeaving(fleet: VirtualFleet): LeavingTarget[] {
  const spans: LeavingTarget[] = [];
  for (const { atMs, notice } of fleet.notices) {
    if (notice.kind !== "change_accepted") continue;
    const ordered = fleet.changes
      .find((each) => each.requestId === notice.requestId);
    if (ordered?.change.kind !== "drain_target") continue;
    const { targetId, draining } = ordered.change;
    if (!draining) continue;
    const end = fleet.changes.find(({ change, atMs: orderedAtMs }) =>
      change.kind === "drain_target" && change.targetId === targetId &&
      !change.draining && orderedAtMs > ordered.atMs
    );
    const untilMs = end?.atMs ?? Infinity;
    spans.push({ targetId, acceptedAtMs: atMs, untilMs });
  }
  return spans;
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
