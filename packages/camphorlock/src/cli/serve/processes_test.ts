import { expect } from "chai";
import {
  type JsonObject,
  ProcessFleet,
  waitFor,
} from "./processes_fixture_test.ts";

const TIMEOUT_MS = 240_000;

const SERVICE_CALL: JsonObject = {
  kind: "service",
  service: "service",
  operation: "capture",
};

function buildModelCall(text: string): JsonObject {
  const content = `${text} [answer_tokens=100]`;
  const messages = [{ role: "user", content }];
  return { kind: "model", model: "engine", messages, max_tokens: 200 };
}

describe("nodes as processes", function () {
  this.timeout(TIMEOUT_MS);
  let fleet: ProcessFleet;

  before(async () => {
    fleet = new ProcessFleet();
    await fleet.start(4);
  });

  after(async () => {
    await fleet.stop();
  });

  it("complete a model call whose owner is killed", async () => {
    const programId = await fleet.createProgram(0, "kill");
    const owner = await fleet.findOwner(programId);
    const firstNode = fleet.nodes.findIndex((node) => node !== owner);
    const body = buildModelCall("kill the owner");
    const call = fleet.runCall(programId, { body, key: "k1", at: firstNode });
    await waitFor(500);
    owner?.process.kill("SIGKILL");
    expect((await call).status).to.equal("completed");
    if (owner !== undefined) fleet.restart(owner);
    await fleet.waitReady();
  });

  it("run a service call once if its owner pauses past its lease", async () => {
    const programId = await fleet.createProgram(1, "pause");
    const owner = await fleet.findOwner(programId);
    const firstNode = fleet.nodes.findIndex((node) => node !== owner);
    for (const service of fleet.services) {
      service.control.addNext({ kind: "delay", ms: 1_500 });
    }
    const body = { ...SERVICE_CALL, body: { order: "pause" } };
    const call = fleet.runCall(programId, { body, key: "k1", at: firstNode });
    await waitFor(700);
    owner?.process.kill("SIGSTOP");
    const response = await call;
    owner?.process.kill("SIGCONT");
    await waitFor(3_000);
    const runs = fleet.runs.runs
      .filter((run) => run.body.includes('"order":"pause"'));
    expect(runs).to.have.length(1);
    expect(["completed", "unknown"]).to.include(response.status);
    await fleet.waitReady();
  });

  it("serve calls through a platform outage of one minute", async () => {
    const programId = await fleet.createProgram(2, "outage");
    fleet.platform.control.startFault({ kind: "outage", durationMs: 60_000 });
    const deadlineMs = performance.now() + 62_000;
    let completedCalls = 0;
    for (let turn = 0; performance.now() < deadlineMs; turn++) {
      const body = { ...SERVICE_CALL, body: { outage: turn } };
      const key = `k${turn}`;
      const response = await fleet.runCall(programId, { body, key, at: turn });
      expect(response.status).to.equal("completed");
      completedCalls += 1;
      await waitFor(1_000);
    }
    expect(completedCalls).to.be.greaterThan(20);
    const runs = fleet.runs.runs.filter((run) => run.body.includes("outage"));
    expect(runs).to.have.length(completedCalls);
  });

  it("settle changes and calls whose platform responses are lost", async () => {
    const lost = { kind: "lost_answer", share: 0.5 } as const;
    fleet.platform.control.startFault({ ...lost, durationMs: 8_000 });
    const programId = await fleet.createProgram(3, "lost");
    const statement = "split costs of shared work zincir 30% okonkwo 70%";
    const changed = await fleet.send(fleet.nodes[0], "/v1/operate", {
      body: { statement, by: "okonkwo/test" },
    });
    expect(String(changed?.text)).to.include("accepted at revision");
    for (let turn = 0; turn < 5; turn++) {
      const body = { ...SERVICE_CALL, body: { lost: turn } };
      const options = { body, key: `k${turn}`, at: turn };
      const response = await fleet.runCall(programId, options);
      expect(response.status).to.equal("completed");
    }
    const runs = fleet.runs.runs.filter((run) => run.body.includes("lost"));
    expect(runs).to.have.length(5);
  });

  it("move a model call to another engine when its engine stalls", async () => {
    const programId = await fleet.createProgram(0, "silent");
    const body = buildModelCall("silent engine");
    const call = fleet.runCall(programId, { body, key: "k1", at: 0 });
    await waitFor(600);
    const busy = fleet.engines.filter((engine) => engine.control.requests > 0);
    for (const engine of busy.slice(0, 2)) engine.control.silent = true;
    const response = await call;
    for (const engine of busy) engine.control.silent = false;
    expect(response.status).to.equal("completed");
  });

  it("cut off no request when a node stops as planned", async () => {
    const stopping = fleet.nodes[1];
    const programs: unknown[] = [];
    for (let number = 0; number < 12; number++) {
      programs.push(await fleet.createProgram(number, `stop-${number}`));
    }
    const calls = programs.map((programId, number) => {
      const isServiceCall = number % 2 === 0;
      const body = isServiceCall
        ? { ...SERVICE_CALL, body: { stop: number } }
        : buildModelCall(`stop ${number}`);
      const path = `/v1/programs/${programId}/calls`;
      const node = fleet.nodes[number % 2];
      return fleet.send(node, path, { body, key: "k1" });
    });
    for (const programId of programs) await fleet.waitAccepted(programId);
    stopping?.process.kill("SIGTERM");
    const responses = await Promise.all(calls);
    const statuses = responses.map((response) => response?.status);
    expect(statuses).to.deep.equal(programs.map(() => "completed"));
  });
});
