/**
 * Loads scenario files and converts them to run plans.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { checkNever } from "@camphorlock/types";
import { err, ok, Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import type { FaultEvent } from "../proof/fault_schedule.ts";
import type { RunPlan } from "../proof/run_plan.ts";
import {
  type Scenario,
  SCENARIO_SCHEMA,
  type ScenarioFault,
} from "./schema.ts";

const readToml = Result.fromThrowable(
  (file: string): unknown => parse(readFileSync(file, "utf8")),
  (error) => createFailure("SettingsUnreadable", String(error)),
);

/** Loads and validates a scenario file. Errors state the file and the key. */
export function loadScenario(file: string): Result<Scenario, Failure> {
  return readToml(file).andThen((value) => {
    const checked = SCENARIO_SCHEMA.safeParse(value);
    if (checked.success) return ok(checked.data);
    const lines = checked.error.issues
      .map((issue) => `${file}: ${issue.path.join(".")}: ${issue.message}`);
    return err(createFailure("SettingsInvalid", lines.join("\n")));
  });
}

/** Builds the run plan of a scenario. */
export function buildPlan(scenario: Scenario): RunPlan {
  const { fleet, load, seed } = scenario;
  return {
    seed,
    shape: {
      nodeCount: fleet.nodes,
      engineCount: fleet.engines,
      serviceCount: fleet.services,
      shardCount: fleet.shards,
    },
    load: {
      lines: load.lines,
      programs: load.programs,
      calls: load.calls,
      orderPercent: load.order_percent,
      hasAmpleBudget: true,
    },
    events: scenario.faults.map(buildEvent),
  };
}

function buildEvent(fault: ScenarioFault): FaultEvent {
  const atMs = fault.at_ms;
  switch (fault.kind) {
    case "kill_node":
    case "stop_node": {
      const restartAfterMs = fault.restart_after_ms;
      return { kind: fault.kind, atMs, vmId: fault.vm, restartAfterMs };
    }
    case "pause_node": {
      const durationMs = fault.duration_ms;
      return { kind: fault.kind, atMs, vmId: fault.vm, durationMs };
    }
    case "cut_link":
      return {
        kind: fault.kind,
        atMs,
        from: fault.from,
        to: fault.to,
        isBothWays: fault.both_ways,
        durationMs: fault.duration_ms,
      };
    case "lose_messages": {
      const { kind, per_mille: perMille, duration_ms: durationMs } = fault;
      return { kind, atMs, perMille, durationMs };
    }
    case "platform_fault": {
      const { kind, duration_ms: durationMs } = fault;
      return { kind, atMs, fault: fault.fault, durationMs };
    }
    case "target_fault": {
      const { kind, target, mode, duration_ms: durationMs } = fault;
      return { kind, atMs, targetId: target, mode, durationMs };
    }
    case "pool_fault": {
      const { kind, mode, duration_ms: durationMs } = fault;
      return { kind, atMs, mode, durationMs };
    }
    case "race_operators": {
      const { kind, target, vms, duration_ms: durationMs } = fault;
      return { kind, atMs, targetId: target, vmIds: vms, durationMs };
    }
    case "kill_at_answer":
      return { kind: fault.kind, atMs, restartAfterMs: fault.restart_after_ms };
    default:
      return checkNever(fault);
  }
}
