/**
 * Runs programs on a virtual fleet under scheduled faults, and collects the
 * history for the checks.
 */
import { DEFAULT_NODE_LIMITS } from "@camphorlock/scheduler";
import type { CallerRequest, VmId } from "@camphorlock/types";
import { VirtualFleet, type VirtualRequest } from "../fleet/virtual_fleet.ts";
import type { FaultEvent } from "./fault_schedule.ts";
import { startSchedule } from "./start_faults.ts";
import { RandomSource } from "./random_source.ts";
import type {
  DrainPeriod,
  ProgramReading,
  RunHistory,
  ServedRevision,
} from "./run_history.ts";
import { VirtualCaller } from "./virtual_caller.ts";

const BUDGET_MICROS = { low: 1_500, high: 8_000 } as const;
const AMPLE_BUDGET_MICROS = 10_000_000;
const WRITES_PER_SECOND = 4;
const PLACE_TIMEOUT_MS = 5_000;
const FAULT_PHASE_MS = 40_000;
const START_TIMEOUT_MS = 60_000;
const SETTLE_TIMEOUT_MS = 180_000;
const QUIET_PHASE_MS = 20_000;
const READ_TIMEOUT_MS = 20_000;

/** The numbers of nodes, targets and shards of a virtual fleet. */
export interface FleetShape {
  readonly nodeCount: number;
  readonly engineCount: number;
  readonly serviceCount: number;
  readonly shardCount: number;
}

/** The programs and calls that callers run. */
export interface Workload {
  /** Sequences of programs that run concurrently. */
  readonly lines: number;
  /** Programs in each sequence, run one after the other. */
  readonly programs: number;
  readonly calls: number;
  /** Percentage of calls that are non-idempotent service calls. */
  readonly orderPercent: number;
  /** Whether every budget covers all calls of its program. */
  readonly hasAmpleBudget?: boolean;
}

/** The fleet, workload and faults of a run. */
export interface RunPlan {
  readonly seed: number;
  readonly shape: FleetShape;
  readonly load: Workload;
  readonly events: readonly FaultEvent[];
}

/** Runs a plan. The same plan always produces the same history. */
export function runPlan(plan: RunPlan): RunHistory {
  const random = new RandomSource(plan.seed);
  const fleet = createFleet(plan);
  fleet.waitServing(START_TIMEOUT_MS);
  const callers: VirtualCaller[] = [];
  const { lines, programs } = plan.load;
  for (let index = 0; index < lines; index++) {
    startCallers(fleet, { random, callers, remaining: programs, plan });
  }
  startSchedule(fleet, plan.events);
  fleet.clock.runFor(FAULT_PHASE_MS);
  const isDone = (): boolean =>
    callers.length === lines * programs &&
    callers.every((caller) => caller.isEnded);
  fleet.clock.runUntil(isDone, SETTLE_TIMEOUT_MS);
  fleet.clock.runFor(QUIET_PHASE_MS);
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

/** Programs that run one after the other. */
interface ProgramSequence {
  readonly random: RandomSource;
  /** Every caller started so far, in every sequence. */
  readonly callers: VirtualCaller[];
  readonly remaining: number;
  readonly plan: RunPlan;
}

/** Starts a program, then the next one when that program has ended. */
function startCallers(fleet: VirtualFleet, sequence: ProgramSequence): void {
  const { random, callers, remaining } = sequence;
  if (remaining === 0) return;
  const caller = new VirtualCaller(fleet, random, {
    number: callers.length,
    shard: random.chooseInteger(0, sequence.plan.shape.shardCount - 1),
    callCount: sequence.plan.load.calls,
    budgetMicros: chooseBudget(sequence),
    orderPercent: sequence.plan.load.orderPercent,
  });
  callers.push(caller);
  caller.start(() =>
    startCallers(fleet, { ...sequence, remaining: remaining - 1 })
  );
}

function chooseBudget(sequence: ProgramSequence): number {
  const budget = sequence.random.chooseInteger(
    BUDGET_MICROS.low,
    BUDGET_MICROS.high,
  );
  return sequence.plan.load.hasAmpleBudget === true
    ? AMPLE_BUDGET_MICROS
    : budget;
}

/** Lists the target ids of a fleet. */
export function listTargets(shape: FleetShape): string[] {
  const engines = Array.from({ length: shape.engineCount }, (_, index) => {
    return `engine-${index + 1}`;
  });
  const services = Array.from({ length: shape.serviceCount }, (_, index) => {
    return `service-${index + 1}`;
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
    memoryHeldAfterEnd: listTargets(plan.shape).flatMap((targetId) =>
      fleet.targets.listHeldPrograms(targetId)
        .filter((programId) => ended.has(programId))
        .map((programId) => ({ targetId, programId }))
    ),
    servedRevisions: listServedRevisions(fleet),
    accepted: fleet.notices.flatMap(({ atMs, notice }) =>
      notice.kind === "change_accepted"
        ? [{ atMs, revision: notice.revision }]
        : []
    ),
    leaving: listDrainPeriods(fleet),
    finalRevisions: [...fleet.nodes.values()]
      .filter((node) => !node.isEnded)
      .map((node) => ({
        vmId: node.spec.vmId,
        atMs: fleet.clock.nowMs,
        revision: node.core.revision,
      })),
    gracefulRequests: hasOnlyGracefulShutdowns(plan)
      ? fleet.requests.filter(({ request }) => request.kind === "run_call")
      : [],
  };
}

/**
 * Whether every fault of a plan is a graceful shutdown and every budget is
 * ample, so that every call must complete.
 */
function hasOnlyGracefulShutdowns(plan: RunPlan): boolean {
  return plan.load.hasAmpleBudget === true &&
    plan.events.every((event) => event.kind === "stop_node");
}

/**
 * Lists the revisions that nodes served under. A new process catches up with
 * the latest revision before it's ready, and serves no requests until then.
 */
function listServedRevisions(fleet: VirtualFleet): ServedRevision[] {
  const ready = new Map<VmId, number>();
  const served: ServedRevision[] = [];
  for (const { vmId, incarnation, atMs, notice } of fleet.notices) {
    if (notice.kind === "cut_off") ready.delete(vmId);
    if (notice.kind === "ready") ready.set(vmId, incarnation);
    if (notice.kind !== "ready" && notice.kind !== "in_force") continue;
    if (ready.get(vmId) !== incarnation) continue;
    served.push({ vmId, atMs, revision: notice.revision });
  }
  return served;
}

/**
 * Lists the periods in which targets drain. A period ends when the operator
 * submits its end, because that change may be in force before the operator
 * receives its acceptance.
 */
function listDrainPeriods(fleet: VirtualFleet): DrainPeriod[] {
  const periods: DrainPeriod[] = [];
  for (const { atMs, notice } of fleet.notices) {
    if (notice.kind !== "change_accepted") continue;
    const submitted = fleet.changes
      .find((each) => each.requestId === notice.requestId);
    if (submitted?.change.kind !== "drain_target") continue;
    const { targetId, draining } = submitted.change;
    if (!draining) continue;
    const end = fleet.changes.find(({ change, atMs: submittedAtMs }) =>
      change.kind === "drain_target" && change.targetId === targetId &&
      !change.draining && submittedAtMs > submitted.atMs
    );
    const untilMs = end?.atMs ?? Infinity;
    periods.push({ targetId, acceptedAtMs: atMs, untilMs });
  }
  return periods;
}

function readProgram(
  fleet: VirtualFleet,
  caller: VirtualCaller,
): ProgramReading {
  const { programId, budgetMicros } = caller.spec;
  const view = sendRead(fleet, { kind: "show_program", programId })
    .responses.at(-1);
  const items = sendRead(fleet, { kind: "read_history", programId })
    .responses.at(-1);
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
  fleet.waitEnded(sent, READ_TIMEOUT_MS);
  return sent;
}
