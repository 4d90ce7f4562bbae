import { expect } from "chai";
import type {
  MembershipView,
  TargetLoad,
  TargetSpec,
} from "@camphorlock/types";
import { LOAD_BYTES, LoadReporter } from "./load_reporter.ts";

function buildView(count: number): MembershipView {
  const nodes = Array.from({ length: count }, (_, number) => ({
    state: "alive" as const,
    revision: 1,
    spec: {
      vmId: `n${number}`,
      incarnation: 1,
      region: `r${number % 7}`,
      failureDomain: "d",
      peerAddress: "",
      callerAddress: "",
      hasDisk: false,
    },
  }));
  return { self: "n0", nodes };
}

function buildTargets(count: number): TargetSpec[] {
  return Array.from({ length: count }, (_, number) => ({
    targetId: `t${number}`,
    kind: "engine",
    serves: [`m${Math.floor(number / 7) % 16}`],
    region: `r${number % 7}`,
    failureDomain: "d",
    address: "",
    checksFencing: true,
    leaving: false,
  }));
}

function buildLoads(targets: readonly TargetSpec[]): TargetLoad[] {
  return targets.map(({ targetId }) => ({
    targetId,
    running: 1,
    queued: 0,
    limit: 24,
    queuedPromptTokens: 0,
    relativeSpeed: 1,
  }));
}

describe("load reports", () => {
  it("reach every node of a small fleet", () => {
    const reporter = new LoadReporter({ self: "n0", region: "r0" });
    const targets = buildTargets(8);
    reporter.update(buildView(9), targets);
    const messages = reporter.takeMessages(buildLoads(targets.slice(0, 2)), 0);
    expect(messages.map((each) => each.to)).to.have.length(8);
    expect(messages[0]?.loads).to.have.length(2);
  });

  it("stay within the byte budget at the design size and reach all watchers", () => {
    const reporter = new LoadReporter({ self: "n0", region: "r0" });
    const targets = buildTargets(12_000);
    reporter.update(buildView(430), targets);
    const own = targets.filter((each) => each.region === "r0").slice(0, 28);
    const loads = buildLoads(own);
    let sent = 0;
    const reached = new Set<string>();
    for (let atMs = 0; atMs < 10_000; atMs += 250) {
      for (const message of reporter.takeMessages(loads, atMs)) {
        sent += message.loads.length * LOAD_BYTES;
        for (const load of message.loads) {
          reached.add(`${message.to}/${load.targetId}`);
        }
      }
    }
    expect(sent).to.be.below(6_000 * 10 + 6_000);
    expect(reached.size).to.be.within(28 * 6, 28 * 13);
  });
});
