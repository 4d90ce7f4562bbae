import { expect } from "chai";
import { FactClient, type FactKeeper } from "./fact_client.ts";
import type { Fact, FactAnswer, FactMessage } from "./fact_messages.ts";
import { FactTable } from "./fact_table.ts";

function buildFact(change: Partial<Fact> = {}): Fact {
  return { key: "a:1", id: "x", value: "v", lifetimeMs: 1_000, ...change };
}

describe("a table of facts", () => {
  it("finds facts by key until they expire, the last one of each id", () => {
    const table = new FactTable();
    table.save(buildFact(), 0);
    table.save(buildFact({ value: "later" }), 10);
    table.save(buildFact({ id: "y" }), 20);
    table.save(buildFact({ key: "a:2" }), 20);
    expect(table.find("a:1", 30)).to.deep.equal([
      { id: "x", value: "later", ageMs: 20 },
      { id: "y", value: "v", ageMs: 10 },
    ]);
    expect(table.find("a:1", 1_015)).to.have.length(1);
    table.removeExpired(1_020);
    expect(table.size).to.equal(0);
  });

  it("forgets the oldest of one group only, when there are too many", () => {
    const table = new FactTable(10_000);
    table.save(buildFact({ key: "blocked:all" }), 0);
    for (let each = 0; each < 100; each += 1) {
      table.save(buildFact({ key: `stream:${each}` }), 1);
    }
    expect(table.size).to.be.within(20, 40);
    expect(table.find("blocked:all", 2)).to.have.length(1);
    expect(table.find("stream:99", 2)).to.have.length(1);
    expect(table.find("stream:0", 2)).to.deep.equal([]);
  });

  it("frees the memory of what is replaced and what has expired", () => {
    const table = new FactTable(10_000);
    for (let each = 0; each < 1_000; each += 1) {
      table.save(buildFact({ key: `a:${each % 20}` }), each);
    }
    expect(table.size).to.equal(20);
    table.removeExpired(5_000);
    for (let each = 0; each < 20; each += 1) {
      table.save(buildFact({ key: `a:later-${each}` }), 5_000);
    }
    expect(table.size).to.equal(20);
  });

  it("limits the facts of one key", () => {
    const table = new FactTable();
    for (let each = 0; each < 2_000; each += 1) {
      table.save(buildFact({ id: `${each}` }), 0);
    }
    expect(table.find("a:1", 1)).to.have.length(1_000);
  });

  it("refuses what isn't a fact, and says why", () => {
    const table = new FactTable();
    const invalid: unknown[] = [
      null,
      "text",
      buildFact({ key: undefined as never }),
      buildFact({ value: "x".repeat(10_000) }),
      buildFact({ lifetimeMs: Number.NaN }),
      buildFact({ lifetimeMs: -1 }),
      buildFact({ lifetimeMs: 1e12 }),
    ];
    for (const each of invalid) {
      expect(table.save(each, 0).isErr()).to.equal(true);
    }
    expect(table.size).to.equal(0);
  });
});

describe("the client of the keepers of facts", () => {
  let tables: Map<string, FactTable>;
  let silent: Set<string>;
  let keepers: FactKeeper[];
  let client: FactClient<FactKeeper>;

  beforeEach(() => {
    silent = new Set();
    keepers = ["k1", "k2", "k3", "k4", "k5", "k6"].map((vmId, index) => ({
      vmId,
      host: "127.0.0.1",
      port: 1,
      failureDomain: `d${index % 3}`,
    }));
    tables = new Map(keepers.map(({ vmId }) => [vmId, new FactTable()]));
    client = buildClient();
  });

  function buildClient(): FactClient<FactKeeper> {
    return new FactClient({ listKeepers: () => keepers, call });
  }

  function call(
    { vmId }: FactKeeper,
    message: FactMessage,
  ): Promise<FactAnswer | undefined> {
    const table = tables.get(vmId);
    if (silent.has(vmId) || table === undefined) {
      return Promise.resolve(undefined);
    }
    if (message.kind === "save_fact") {
      table.save(message.fact, 0);
      return Promise.resolve({ kind: "fact_saved" });
    }
    const key = message.kind === "find_facts" ? message.key : "";
    const facts = table.find(key, 1);
    return Promise.resolve({ kind: "facts_found", facts });
  }

  function listHolders(): FactKeeper[] {
    return keepers.filter(({ vmId }) => tables.get(vmId)?.size === 1);
  }

  it("saves copies in two failure domains, and others find them", async () => {
    expect(await client.save(buildFact())).to.equal(2);
    const holders = listHolders();
    expect(new Set(holders.map((each) => each.failureDomain)).size)
      .to.equal(2);
    expect(await buildClient().find("a:1")).to.have.length(1);
  });

  it("finds a fact after the loss of either copy", async () => {
    await client.save(buildFact());
    for (const { vmId } of listHolders()) {
      silent = new Set([vmId]);
      expect(await buildClient().find("a:1")).to.have.length(1);
    }
  });

  it("saves elsewhere when a keeper is silent, and passes it over then", async () => {
    await client.save(buildFact());
    const [lost] = listHolders();
    tables = new Map(keepers.map(({ vmId }) => [vmId, new FactTable()]));
    silent = new Set([lost?.vmId ?? ""]);
    expect(await client.save(buildFact())).to.equal(2);
    expect(await client.save(buildFact())).to.equal(2);
    expect(await buildClient().find("a:1")).to.have.length(1);
  });

  it("finds a fact however many other keepers are gone for good", async () => {
    await client.save(buildFact());
    const holders = listHolders().map(({ vmId }) => vmId);
    const gone = Array.from({ length: 30 }, (_, at) => ({
      vmId: `gone-${at}`,
      host: "127.0.0.1",
      port: 1,
      failureDomain: "d0",
    }));
    keepers = [...gone, ...keepers];
    silent = new Set(gone.map(({ vmId }) => vmId));
    expect(holders).to.have.length(2);
    expect(await buildClient().find("a:1")).to.have.length(1);
  });

  it("finds nothing without keepers", async () => {
    keepers = [];
    expect(await client.save(buildFact())).to.equal(0);
    expect(await client.find("a:1")).to.deep.equal([]);
  });
});
