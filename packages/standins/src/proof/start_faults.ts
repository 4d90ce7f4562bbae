/**
 * Injects scheduled faults into a virtual fleet, and ends them after their
 * duration.
 */
import { type ChangeCommand, checkNever, type VmId } from "@camphorlock/types";
import type { VirtualFleet } from "../fleet/virtual_fleet.ts";
import type { FaultEvent } from "./fault_schedule.ts";

const SHUTDOWN_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 100;

/** Schedules every fault event on the clock of a fleet. */
export function startSchedule(
  fleet: VirtualFleet,
  events: readonly FaultEvent[],
): void {
  for (const event of events) {
    fleet.clock.add(event.atMs, () => startEvent(fleet, event));
  }
}

function startEvent(fleet: VirtualFleet, event: FaultEvent): void {
  switch (event.kind) {
    case "kill_node":
      return startKill(fleet, event.vmId, event.restartAfterMs);
    case "pause_node":
      return startPause(fleet, event.vmId, event.durationMs);
    case "cut_link":
      return startCut(fleet, event);
    case "lose_messages":
      fleet.network.lossPerMille = event.perMille;
      return fleet.clock.add(event.durationMs, () => {
        fleet.network.lossPerMille = 0;
      });
    case "platform_fault":
      return startPlatformFault(fleet, event);
    case "target_fault":
      fleet.targets.setMode(event.targetId, event.mode);
      return fleet.clock.add(event.durationMs, () => {
        fleet.targets.setMode(event.targetId, "serving");
      });
    case "race_operators":
      return startRace(fleet, event);
    case "kill_at_answer":
      return fleet.setOnOutcome((vmId) => {
        fleet.setOnOutcome(undefined);
        startKill(fleet, vmId, event.restartAfterMs);
      });
    case "pool_fault":
      return startPoolFault(fleet, event);
    case "stop_node":
      return startGracefulShutdown(fleet, event.vmId, event.restartAfterMs);
    default:
      return checkNever(event);
  }
}

function startPoolFault(
  fleet: VirtualFleet,
  event: Extract<FaultEvent, { kind: "pool_fault" }>,
): void {
  for (const targetId of fleet.listEngines()) {
    fleet.targets.setMode(targetId, event.mode);
    fleet.clock.add(event.durationMs, () => {
      fleet.targets.setMode(targetId, "serving");
    });
  }
}

function startRace(
  fleet: VirtualFleet,
  event: Extract<FaultEvent, { kind: "race_operators" }>,
): void {
  const { targetId, vmIds, durationMs } = event;
  const [first, second] = vmIds;
  if (first === undefined || second === undefined) return;
  const drain = { kind: "drain_target", targetId } as const;
  fleet.sendChange(first, { ...drain, draining: true });
  fleet.sendChange(second, buildSplit(event.atMs));
  fleet.clock.add(durationMs, () => {
    fleet.sendChange(second, { ...drain, draining: false });
  });
}

/** Builds a cost split whose shares depend on the event's time. */
function buildSplit(atMs: number): ChangeCommand {
  const sharePpm = 100_000 + Math.round(atMs) % 800_000;
  return {
    kind: "split_costs",
    costClass: "shared",
    shares: [
      { partner: "zincir", sharePpm },
      { partner: "okonkwo", sharePpm: 1_000_000 - sharePpm },
    ],
  };
}

/** Ends the process once its node is drained, or after a timeout. */
function startGracefulShutdown(
  fleet: VirtualFleet,
  vmId: VmId,
  restartAfterMs: number,
): void {
  const node = fleet.getNode(vmId);
  if (node.isEnded) return;
  node.handle({ kind: "stop" });
  waitStopped(fleet, vmId, fleet.clock.nowMs + SHUTDOWN_TIMEOUT_MS, () => {
    if (node.isEnded) return;
    node.end();
    fleet.clock.add(restartAfterMs, () => fleet.startNode(vmId));
  });
}

function waitStopped(
  fleet: VirtualFleet,
  vmId: VmId,
  untilMs: number,
  onStopped: () => void,
): void {
  const node = fleet.getNode(vmId);
  const isDone = node.isDrained || fleet.clock.nowMs >= untilMs;
  if (isDone) return onStopped();
  fleet.clock.add(
    POLL_INTERVAL_MS,
    () => waitStopped(fleet, vmId, untilMs, onStopped),
  );
}

function startKill(
  fleet: VirtualFleet,
  vmId: VmId,
  restartAfterMs: number,
): void {
  if (fleet.getNode(vmId).isEnded) return;
  fleet.endNode(vmId);
  fleet.clock.add(restartAfterMs, () => fleet.startNode(vmId));
}

function startPause(
  fleet: VirtualFleet,
  vmId: VmId,
  durationMs: number,
): void {
  const node = fleet.getNode(vmId);
  node.pause();
  fleet.clock.add(durationMs, () => node.resume());
}

function startCut(
  fleet: VirtualFleet,
  event: Extract<FaultEvent, { kind: "cut_link" }>,
): void {
  const { from, to, isBothWays } = event;
  if (from === to) return;
  fleet.network.closeLink(from, to);
  if (isBothWays) fleet.network.closeLink(to, from);
  fleet.clock.add(event.durationMs, () => {
    fleet.network.openLink(from, to);
    if (isBothWays) fleet.network.openLink(to, from);
  });
}

function startPlatformFault(
  fleet: VirtualFleet,
  event: Extract<FaultEvent, { kind: "platform_fault" }>,
): void {
  const fromMs = fleet.clock.nowMs;
  const times = { fromMs, untilMs: fromMs + event.durationMs };
  const { plan } = fleet.platform;
  switch (event.fault) {
    case "outage":
    case "silent":
      return plan.add({ kind: event.fault, ...times });
    case "lost_answer":
      return plan.add({ kind: "lost_answer", share: 0.5, ...times });
    case "slow":
      return plan.add({ kind: "slow", maxDelayMs: 2_000, ...times });
    default:
      return checkNever(event.fault);
  }
}
