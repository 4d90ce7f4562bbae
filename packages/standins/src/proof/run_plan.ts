/**
 * Runs programs on a virtual fleet under planned faults, and collects what the
 * checks read.
 */
import { DEFAULT_NODE_LIMITS } from "@camphorlock/scheduler";
import type { CallerRequest, VmId } from "@camphorlock/types";
import { VirtualFleet, type VirtualRequest } from "../fleet/virtual_fleet.ts";
import type { PlannedEvent } from "./fault_schedule.ts";
import { startSchedule } from "./start_faults.ts";
import { RandomSource } from "./random_source.ts";
import type {
  ForcedRevision,
  LeavingTarget,
  ReadProgram,
  RunHistory,
} from "./run_history.ts";
import { VirtualCaller } from "./virtual_caller.ts";

const BUDGET_MICROS = { low: 1_500, high: 8_000 } as const;
const AMPLE_MICROS = 10_000_000;
const WRITES_PER_SECOND = 4;
const PLACE_TIMEOUT_MS = 5_000;
const FAULTS_MS = 40_000;
const START_LIMIT_MS = 60_000;
const SETTLE_LIMIT_MS = 180_000;
const AFTER_MS = 20_000;
const READ_LIMIT_MS = 20_000;

/** The size of a virtual fleet. */
export interface FleetShape {
  readonly nodeCount: number;
  readonly engineCount: number;
  readonly serviceCount: number;
  readonly shardCount: number;
}

/** The programs that callers run. */
export interface PlannedLoad {
  /** Programs that run at the same time. */
  readonly lines: number;
  /** Programs that follow one another in each line. */
  readonly programs: number;
  readonly calls: number;
  /** Calls in a hundred that are non-idempotent orders. */
  readonly orderPercent: number;
  /** Whether every budget covers its program's calls. */
  readonly hasAmpleBudget?: boolean;
}

/** A run: fleet, load and faults. */
export interface RunPlan {
  readonly seed: number;
  readonly shape: FleetShape;
  readonly load: PlannedLoad;
  readonly events: readonly PlannedEvent[];
}

/** Runs a plan. The same plan always gives the same history. */
export function runPlan(plan: RunPlan): RunHistory {
  const random = new RandomSource(plan.seed);
  const fleet = createFleet(plan);
  fleet.waitServing(START_LIMIT_MS);
  const callers: VirtualCaller[] = [];
  const { lines, programs } = plan.load;
  for (let line = 0; line < lines; line++) {
    startCallers(fleet, { random, callers, left: programs, plan });
  }
  startSchedule(fleet, plan.events);
  fleet.clock.runFor(FAULTS_MS);
  const areDone = (): boolean =>
    callers.length === lines * programs &&
    callers.every((caller) => caller.isEnded);
  fleet.clock.runUntil(areDone, SETTLE_LIMIT_MS);
  fleet.clock.runFor(AFTER_MS);
  return buildHistory(fleet, callers, plan);
}

function createFleet(plan: RunPlan): VirtualFleet {
  return new VirtualFleet({
    seed: plan.seed,
    ...plan.shape,
    limits: {
      writesPerSecond: WRITES_PER_SECOND,
      owner: {
        ...DEFAULT_NODE_LIMITS.owner,
        placeTimeoutMs: PLACE_TIMEOUT_MS,
      },
    },
  });
}

/** Programs that follow one another. */
interface CallerLine {
  readonly random: RandomSource;
  /** Every caller that was started. */
  readonly callers: VirtualCaller[];
  readonly left: number;
  readonly plan: RunPlan;
}

/** Starts a program, and the next one when it has ended. */
function startCallers(fleet: VirtualFleet, line: CallerLine): void {
  const { random, callers, left } = line;
  if (left === 0) return;
  const caller = new VirtualCaller(fleet, random, {
    number: callers.length,
    shard: random.take(0, line.plan.shape.shardCount - 1),
    callCount: line.plan.load.calls,
    budgetMicros: chooseBudget(line),
    orderPercent: line.plan.load.orderPercent,
  });
  callers.push(caller);
  caller.start(() => startCallers(fleet, { ...line, left: left - 1 }));
}

function chooseBudget(line: CallerLine): number {
  const budget = line.random.take(BUDGET_MICROS.low, BUDGET_MICROS.high);
  return line.plan.load.hasAmpleBudget === true ? AMPLE_MICROS : budget;
}

/** Lists the targets of a fleet. */
export function listTargets(shape: FleetShape): string[] {
  const engines = Array.from({ length: shape.engineCount }, (_, at) => {
    return `engine-${at + 1}`;
  });
  const services = Array.from({ length: shape.serviceCount }, (_, at) => {
    return `service-${at + 1}`;
  });
  return [...engines, ...services];
}

/** Collects the records of callers, targets and nodes after a run. */
function buildHistory(
  fleet: VirtualFleet,
  callers: readonly VirtualCaller[],
  plan: RunPlan,
): RunHistory {
  const programs = callers.map((caller) => readProgram(fleet, caller));
  const ended = new Set(
    callers.filter((caller) => caller.isEnded)
      .map((caller) => caller.spec.programId),
  );
  return {
    seed: plan.seed,
    endedAtMs: fleet.clock.nowMs,
    calls: callers.flatMap((caller) => caller.calls),
    requests: fleet.requests,
    runs: fleet.targets.runs,
    programs,
    heldAfterEnd: listTargets(plan.shape).flatMap((targetId) =>
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
    gracefulRequests: isStopsOnly(plan)
      ? fleet.requests.filter(({ request }) => request.kind === "run_call")
      : [],
  };
}

/** Whether every fault of a plan is a planned stop, which cuts off nothing. */
function isStopsOnly(plan: RunPlan): boolean {
  return plan.load.hasAmpleBudget === true &&
    plan.events.every((event) => event.kind === "stop_node");
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
