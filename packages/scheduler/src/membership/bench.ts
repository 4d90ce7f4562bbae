/**
 * Measures the cost of membership and how fast it detects a killed node.
 */
import { pack } from "msgpackr";
import type { VmId } from "@camphorlock/types";
import { FakeFleet } from "./fake_fleet.ts";
import { RandomChooser } from "./random.ts";

/** The simulated fleet, and the clock for CPU time. */
export interface MembershipBenchOptions {
  readonly nodes: number;
  readonly failureDomains: number;
  readonly seed: number;
  /** Returns the CPU time used, in milliseconds. */
  readonly readCpuMs: () => number;
}

/** The measured cost and detection times. */
export interface MembershipBenchResult {
  readonly nodes: number;
  /** Time from a cold start until every view contains every node. */
  readonly joinMs: number;
  readonly messagesPerSecondPerNode: number;
  /** Bytes of the encoded messages that one node sends, without framing. */
  readonly bytesPerSecondPerNode: number;
  readonly coreSharePerNode: number;
  /** Time from the kill until the first and the last view list it as dead. */
  readonly firstDeadMs: number;
  readonly allDeadMs: number;
  readonly falseDeaths: number;
}

const STEP_MS = 50;
const SETTLE_MS = 60_000;
const STEADY_MS = 10_000;
const MAX_WAIT_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Runs a fleet through join, steady state and the kill of one node. */
export function runMembershipBench(
  options: MembershipBenchOptions,
): MembershipBenchResult {
  let messages = 0;
  let bytes = 0;
  let sampled = 0;
  const sampler = new RandomChooser(options.seed);
  const fleet = new FakeFleet({
    nodes: options.nodes,
    failureDomains: options.failureDomains,
    seed: options.seed,
    onSend: (_from, message) => {
      messages += 1;
      if (options.nodes > 20 && sampler.chooseIndex(20) !== 0) return;
      sampled += 1;
      bytes += pack(message).length;
    },
  });
  const joinMs = runUntilTrue(fleet, () => isJoined(fleet, options.nodes));
  fleet.runUntil(fleet.nowMs + SETTLE_MS);
  messages = 0;
  bytes = 0;
  sampled = 0;
  const cpuBefore = options.readCpuMs();
  fleet.runUntil(fleet.nowMs + STEADY_MS);
  const cpuMs = options.readCpuMs() - cpuBefore;
  const nodeSeconds = options.nodes * STEADY_MS / MS_PER_SECOND;
  const messageRate = messages / nodeSeconds;
  const bytesPerMessage = bytes / Math.max(sampled, 1);
  const falseDeaths = countDeaths(fleet);
  const killed: VmId = "vm-1";
  const killedAtMs = fleet.nowMs;
  fleet.stopNode(killed);
  const isDeadAt = (viewer: VmId): boolean =>
    fleet.findState(viewer, killed) === "dead";
  runUntilTrue(fleet, () => [...fleet.nodes.keys()].some(isDeadAt));
  const firstDeadMs = fleet.nowMs - killedAtMs;
  runUntilTrue(fleet, () => fleet.isStateEverywhere(killed, "dead"));
  return {
    nodes: options.nodes,
    joinMs,
    messagesPerSecondPerNode: messageRate,
    bytesPerSecondPerNode: messageRate * bytesPerMessage,
    coreSharePerNode: cpuMs / (options.nodes * STEADY_MS),
    firstDeadMs,
    allDeadMs: fleet.nowMs - killedAtMs,
    falseDeaths,
  };
}

function runUntilTrue(fleet: FakeFleet, isTrue: () => boolean): number {
  const startedAtMs = fleet.nowMs;
  while (!isTrue() && fleet.nowMs - startedAtMs < MAX_WAIT_MS) {
    fleet.runUntil(fleet.nowMs + STEP_MS);
  }
  return fleet.nowMs - startedAtMs;
}

function isJoined(fleet: FakeFleet, nodes: number): boolean {
  for (const node of fleet.nodes.values()) {
    if (node.view().nodes.length < nodes) return false;
  }
  return true;
}

function countDeaths(fleet: FakeFleet): number {
  let deaths = 0;
  for (const notices of fleet.notices.values()) {
    for (const notice of notices) {
      if (notice.kind !== "node_changed") continue;
      if (notice.change.to === "dead") deaths += 1;
    }
  }
  return deaths;
}
