import { expect } from "chai";
import { type Json, ProcessFleet, waitFor } from "./processes_fixture_test.ts";

const LIMIT_MS = 240_000;

const ORDER: Json = {
  kind: "service",
  service: "service",
  operation: "capture",
};

function buildModelCall(text: string): Json {
  const content = `${text} [answer_tokens=100]`;
  const messages = [{ role: "user", content }];
  return { kind: "model", model: "engine", messages, max_tokens: 200 };
}

describe("nodes as processes", function () {
  this.timeout(LIMIT_MS);
  let fleet: ProcessFleet;

  before(async () => {
    fleet = new ProcessFleet();
    await fleet.start(4);
  });

  after(async () => {
    await fleet.stop();
  });

  it("end a model call whose owner is killed", async () => {
    const programId = await fleet.createProgram(0, "kill");
    const owner = await fleet.findOwner(programId);
    const at = fleet.nodes.findIndex((node) => node !== owner);
    const body = buildModelCall("kill the owner");
    const running = fleet.runCall(programId, { body, key: "k1", at });
    await waitFor(500);
    owner?.process.kill("SIGKILL");
    expect((await running).status).to.equal("completed");
    if (owner !== undefined) fleet.restart(owner);
    await fleet.waitReady();
  });

  it("run an order once whose owner is paused past its lease", async () => {
    const programId = await fleet.createProgram(1, "pause");
    const owner = await fleet.findOwner(programId);
    const at = fleet.nodes.findIndex((node) => node !== owner);
    for (const service of fleet.services) {
      service.control.addNext({ kind: "delay", ms: 1_500 });
    }
    const body = { ...ORDER, body: { order: "pause" } };
    const running = fleet.runCall(programId, { body, key: "k1", at });
    await waitFor(700);
    owner?.process.kill("SIGSTOP");
    const answer = await running;
    owner?.process.kill("SIGCONT");
    await waitFor(3_000);
    const runs = fleet.runs.runs
      .filter((run) => run.body.includes('"order":"pause"'));
    expect(runs).to.have.length(1);
    expect(["completed", "unknown"]).to.include(answer.status);
    await fleet.waitReady();
  });

  it("serve through a minute without the platform", async () => {
    const programId = await fleet.createProgram(2, "outage");
    fleet.platform.control.startFault({ kind: "outage", durationMs: 60_000 });
    const untilMs = performance.now() + 62_000;
    let ended = 0;
    for (let turn = 0; performance.now() < untilMs; turn++) {
      const body = { ...ORDER, body: { outage: turn } };
      const key = `k${turn}`;
      const answer = await fleet.runCall(programId, { body, key, at: turn });
      expect(answer.status).to.equal("completed");
      ended += 1;
      await waitFor(1_000);
    }
    expect(ended).to.be.greaterThan(20);
    const runs = fleet.runs.runs.filter((run) => run.body.includes("outage"));
    expect(runs).to.have.length(ended);
  });

  it("settle changes and calls whose platform answers are lost", async () => {
    const lost = { kind: "lost_answer", share: 0.5 } as const;
    fleet.platform.control.startFault({ ...lost, durationMs: 8_000 });
    const programId = await fleet.createProgram(3, "lost");
    const statement = "split costs of shared work zincir 30% okonkwo 70%";
    const changed = await fleet.send(fleet.nodes[0], "/v1/operate", {
      body: { statement, by: "okonkwo/test" },
    });
    expect(String(changed?.text)).to.include("accepted at revision");
    for (let turn = 0; turn < 5; turn++) {
      const body = { ...ORDER, body: { lost: turn } };
      const options = { body, key: `k${turn}`, at: turn };
      const answer = await fleet.runCall(programId, options);
      expect(answer.status).to.equal("completed");
    }
    const runs = fleet.runs.runs.filter((run) => run.body.includes("lost"));
    expect(runs).to.have.length(5);
  });

  it("go on elsewhere when an engine's connections fall silent", async () => {
    const programId = await fleet.createProgram(0, "silent");
    const body = buildModelCall("silent engine");
    const running = fleet.runCall(programId, { body, key: "k1", at: 0 });
    await waitFor(600);
    const busy = fleet.engines.filter((engine) => engine.control.requests > 0);
    for (const engine of busy.slice(0, 2)) engine.control.silent = true;
    const answer = await running;
    for (const engine of busy) engine.control.silent = false;
    expect(answer.status).to.equal("completed");
  });

  it("cut off no request when a node stops as planned", async () => {
    const stopping = fleet.nodes[1];
    const programs: unknown[] = [];
    for (let number = 0; number < 12; number++) {
      programs.push(await fleet.createProgram(number, `stop-${number}`));
    }
    const calls = programs.map((programId, number) => {
      const isOrder = number % 2 === 0;
      const body = isOrder
        ? { ...ORDER, body: { stop: number } }
        : buildModelCall(`stop ${number}`);
      const path = `/v1/programs/${programId}/calls`;
      const node = fleet.nodes[number % 2];
      return fleet.send(node, path, { body, key: "k1" });
    });
    for (const programId of programs) await fleet.waitAccepted(programId);
    stopping?.process.kill("SIGTERM");
    const answers = await Promise.all(calls);
    const statuses = answers.map((answer) => answer?.status);
    expect(statuses).to.deep.equal(programs.map(() => "completed"));
  });
});
