import type { TargetSpec } from "@camphorlock/types";
import { expect } from "chai";
import { TargetClients } from "./target_clients.ts";

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
  it("open and close as the configuration changes", async () => {
    const events: string[] = [];
    const clients = new TargetClients({
      kind: "engine",
      create: (address) => {
        events.push(`open ${address}`);
        const close = (how: string): Promise<void> => {
          events.push(`${how} ${address}`);
          return Promise.resolve();
        };
        return {
          closeWhenIdle: () => close("leave"),
          close: () => close("close"),
        };
      },
    });
    clients.setTargets([buildSpec("a", "1"), buildSpec("b", "2")]);
    const kept = clients.find("b");
    clients.setTargets([buildSpec("a", "3"), buildSpec("b", "2")]);
    expect(clients.find("b")).to.equal(kept);
    clients.setTargets([buildSpec("a", "3")]);
    clients.setTargets([{ ...buildSpec("a", "3"), kind: "service" }]);
    expect(clients.find("a")).to.equal(undefined);
    clients.setTargets([buildSpec("c", "4")]);
    await clients.close();
    expect(events).to.deep.equal([
      "open 1",
      "open 2",
      "leave 1",
      "open 3",
      "leave 2",
      "leave 3",
      "open 4",
      "close 4",
    ]);
  });
});
