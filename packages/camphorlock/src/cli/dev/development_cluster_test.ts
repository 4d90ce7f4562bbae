import { expect } from "chai";
import { request } from "undici";
import {
  type DevelopmentCluster,
  startDevelopmentCluster,
} from "./development_cluster.ts";

const FIRST_PORT = 21_400;

interface JsonObject {
  readonly [key: string]: unknown;
}

describe("a development cluster", () => {
  let cluster: DevelopmentCluster;

  before(async () => {
    const started = await startDevelopmentCluster({
      deployment: "zincir",
      nodeCount: 3,
      logLevel: "error",
      firstPort: FIRST_PORT,
    });
    cluster = started._unsafeUnwrap();
  });

  after(async () => {
    await cluster.stop(500);
  });

  async function send(
    node: number,
    path: string,
    body: JsonObject,
  ): Promise<JsonObject> {
    const response = await request(`http://${cluster.addresses[node]}${path}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    });
    return await response.body.json() as JsonObject;
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
      const call = { kind: "model", model: cluster.model, messages };
      const response = await send(node, path, call);
      expect(response.status).to.equal("completed");
      expect(response.length).to.equal(String(response.text).length);
    }
    const serviceCall = { kind: "service", service: cluster.service };
    const response = await send(1, path, {
      ...serviceCall,
      operation: "capture",
    });
    expect(response.status).to.equal("completed");
  });

  it("refuses invalid input with a numeric code and the field", async () => {
    const response = await send(0, "/v1/programs", { partner: "zinc" });
    expect(response).to.have.nested.property("error.code", 1001);
    expect(response).to.have.nested.property("error.detail")
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
    const call = { kind: "model", model: cluster.model, messages };
    const response = await send(1, path, call);
    for (const what of ["call", "charge"]) {
      const explained = await send(2, "/v1/operate", {
        statement: `explain ${what} ${response.call}`,
        by,
      });
      const expected = what === "call" ? "TargetChosen" : "agreement";
      expect(explained.text, what).to.include(expected);
    }
  });
});
