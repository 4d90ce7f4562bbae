import { expect } from "chai";
import { request } from "undici";
import { type Development, startDevelopment } from "./development.ts";

const FIRST_PORT = 21_400;

interface Json {
  readonly [key: string]: unknown;
}

describe("a development set-up", () => {
  let running: Development;

  before(async () => {
    const started = await startDevelopment({
      deployment: "zincir",
      nodeCount: 3,
      logLevel: "error",
      firstPort: FIRST_PORT,
    });
    running = started._unsafeUnwrap();
  });

  after(async () => {
    await running.stop(500);
  });

  async function send(node: number, path: string, body: Json): Promise<Json> {
    const answer = await request(`http://${running.addresses[node]}${path}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    });
    return await answer.body.json() as Json;
  }

  it("serves calls of a program from every node", async () => {
    const created = await send(0, "/v1/programs", {
      partner: "zincir",
      agent: "quote",
      budget_micros: 1_000_000,
    });
    const path = `/v1/programs/${created.program}/calls`;
    for (const node of [0, 1, 2]) {
      const messages = [{ role: "user", content: `quote ${node}` }];
      const call = { kind: "model", model: running.model, messages };
      const answer = await send(node, path, call);
      expect(answer.status).to.equal("completed");
      expect(answer.length).to.equal(String(answer.text).length);
    }
    const order = { kind: "service", service: running.service };
    const answer = await send(1, path, { ...order, operation: "capture" });
    expect(answer.status).to.equal("completed");
  });

  it("refuses bad input with a numbered code and what is wrong", async () => {
    const answer = await send(0, "/v1/programs", { partner: "zinc" });
    expect(answer).to.have.nested.property("error.code", 1001);
    expect(answer).to.have.nested.property("error.detail")
      .that.includes("partner");
  });

  it("puts an operator's change in force on every node", async () => {
    const statement = "split costs of shared work zincir 55% okonkwo 45%";
    const by = "okonkwo/test";
    const changed = await send(1, "/v1/operate", { statement, by });
    expect(changed.text).to.include("in force");
    const shown = await send(2, "/v1/operate", {
      statement: "show agreements",
      by,
    });
    expect(shown.text).to.include("55%");
  });

  it("shows programs of every node and explains a call", async () => {
    const programs: string[] = [];
    for (const node of [0, 1, 2]) {
      const created = await send(node, "/v1/programs", {
        partner: "okonkwo",
        agent: "trace",
        "budget_micros": 100_000,
      });
      programs.push(String(created.program));
    }
    const by = "zincir/test";
    const statement = "show programs where partner = okonkwo";
    const shown = await send(0, "/v1/operate", { statement, by });
    for (const program of programs) expect(shown.text).to.include(program);
    const path = `/v1/programs/${programs[0]}/calls`;
    const messages = [{ role: "user", content: "explain" }];
    const call = { kind: "model", model: running.model, messages };
    const answer = await send(1, path, call);
    for (const what of ["call", "charge"]) {
      const explained = await send(2, "/v1/operate", {
        statement: `explain ${what} ${answer.call}`,
        by,
      });
      const expected = what === "call" ? "TargetChosen" : "agreement";
      expect(explained.text, what).to.include(expected);
    }
  });
});
