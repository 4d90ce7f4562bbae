import type { Call, CallOutcome, ProgramSpec } from "@camphorlock/types";
import { formatProgramId } from "@camphorlock/types";
import { expect } from "chai";
import { VirtualFleet, type VirtualRequest } from "./virtual_fleet.ts";

const OPTIONS = {
  seed: 1,
  nodeCount: 4,
  engineCount: 3,
  serviceCount: 2,
  shardCount: 8,
};

const MODEL_CALL: Call = {
  kind: "model",
  model: "loom",
  messages: [{ role: "user", content: "quote 40 links" }],
  maxTokens: 64,
};

const ORDER_CALL: Call = {
  kind: "service",
  service: "stock",
  operation: "capture",
  body: '{"amount":40}',
  idempotent: false,
};

function buildSpec(programId: string): ProgramSpec {
  return {
    programId,
    partner: "zincir",
    agent: "quote",
    programClass: "short",
    budgetMicros: 100_000,
    parallel: false,
  };
}

function getOutcome(sent: VirtualRequest): CallOutcome {
  const last = sent.responses.at(-1);
  if (last?.kind !== "outcome") throw new Error(JSON.stringify(last));
  return last.outcome;
}

describe("a fleet of nodes", () => {
  it("serves calls to engines and services from every entry node", () => {
    const fleet = new VirtualFleet(OPTIONS);
    expect(fleet.waitServing(30_000)).to.equal(true);
    const programId = formatProgramId(5, "a");
    const spec = buildSpec(programId);
    const created = fleet.send("vm-1", { kind: "create_program", spec });
    expect(fleet.waitEnded(created, 5_000)).to.equal(true);
    for (const vmId of ["vm-1", "vm-2", "vm-3", "vm-4"]) {
      for (const call of [MODEL_CALL, ORDER_CALL]) {
        const request = { programId, key: `${vmId}-${call.kind}`, call };
        const sent = fleet.send(vmId, {
          kind: "run_call",
          ...request,
          fromOffset: 0,
        });
        expect(fleet.waitEnded(sent, 10_000)).to.equal(true);
        expect(getOutcome(sent).status).to.equal("completed");
      }
    }
    expect(fleet.targets.runs).to.have.length(8);
  });

  it("completes a running call after its owner is killed", () => {
    const fleet = new VirtualFleet(OPTIONS);
    fleet.waitServing(30_000);
    const programId = formatProgramId(5, "a");
    const spec = buildSpec(programId);
    const created = fleet.send("vm-1", { kind: "create_program", spec });
    fleet.waitEnded(created, 5_000);
    const owner = [...fleet.nodes.values()].find((node) =>
      node.core.listPrograms().some((each) => each.spec.programId === programId)
    );
    const entry = owner?.spec.vmId === "vm-1" ? "vm-2" : "vm-1";
    const request = { programId, key: "k", call: MODEL_CALL, fromOffset: 0 };
    const sent = fleet.send(entry, { kind: "run_call", ...request });
    fleet.clock.runFor(60);
    fleet.endNode(owner?.spec.vmId ?? "");
    expect(fleet.waitEnded(sent, 20_000)).to.equal(true);
    expect(getOutcome(sent).status).to.equal("completed");
  });
});
