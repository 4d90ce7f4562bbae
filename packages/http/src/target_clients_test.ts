import type { TargetSpec } from "@camphorlock/types";
import { expect } from "chai";
import { type TargetClient, TargetClients } from "./target_clients.ts";

function buildSpec(targetId: string, address: string): TargetSpec {
  return {
    targetId,
    kind: "engine",
    serves: ["m"],
    region: "ege",
    failureDomain: "ege-1",
    address,
    checksFencing: true,
    leaving: false,
  };
}

describe("target clients", () => {
  let events: string[];
  let nowMs: number;

  beforeEach(() => {
    events = [];
    nowMs = 0;
  });

  function createClients(maxOpen?: number): TargetClients<TargetClient> {
    return new TargetClients({
      kind: "engine",
      maxOpen,
      readNow: () => nowMs,
      create: (address) => {
        events.push(`open ${address}`);
        const close = (how: string): Promise<void> => {
          events.push(`${how} ${address}`);
          return Promise.resolve();
        };
        return {
          closeWhenIdle: () => close("close when idle"),
          close: () => close("close"),
        };
      },
    });
  }

  it("open at their first use and close when the configuration changes", async () => {
    const clients = createClients();
    clients.setTargets([buildSpec("a", "1"), buildSpec("b", "2")]);
    expect(events).to.deep.equal([]);
    clients.find("a");
    const reused = clients.find("b");
    clients.setTargets([buildSpec("a", "3"), buildSpec("b", "2")]);
    expect(clients.find("b")).to.equal(reused);
    clients.find("a");
    clients.setTargets([{ ...buildSpec("a", "3"), kind: "service" }]);
    expect(clients.find("a")).to.equal(undefined);
    clients.setTargets([buildSpec("c", "4")]);
    clients.find("c");
    await clients.close();
    expect(events).to.deep.equal([
      "open 1",
      "open 2",
      "close when idle 1",
      "open 3",
      "close when idle 2",
      "close when idle 3",
      "open 4",
      "close 4",
    ]);
  });

  it("close after a minute without use", () => {
    const clients = createClients();
    clients.setTargets([buildSpec("a", "1"), buildSpec("b", "2")]);
    clients.find("a");
    nowMs = 60_000;
    clients.find("b");
    expect(events).to.deep.equal(["open 1", "open 2"]);
    nowMs = 60_001;
    clients.find("b");
    expect(events).to.deep.equal(["open 1", "open 2", "close when idle 1"]);
  });

  it("close the least recently used one beyond the limit", () => {
    const clients = createClients(2);
    clients.setTargets(["1", "2", "3"].map((each) => buildSpec(each, each)));
    for (const targetId of ["1", "2", "1", "3", "2"]) clients.find(targetId);
    expect(events).to.deep.equal([
      "open 1",
      "open 2",
      "open 3",
      "close when idle 2",
      "open 2",
      "close when idle 1",
    ]);
  });
});
