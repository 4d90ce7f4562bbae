import { expect } from "chai";
import { LOSS_WINDOW_MS, RecentLosses } from "./recent_losses.ts";
import { buildPeer } from "../peer_fixture_test.ts";

describe("recent losses", () => {
  it("hold gateways that ended, until they're long past or back", () => {
    const losses = new RecentLosses();
    losses.add(buildPeer("a"), "lost", 0);
    losses.add(buildPeer("b"), "restarted", 100);
    expect(losses.list(200)).to.deep.equal(["a", "b"]);
    losses.add(buildPeer("a"), "returned", 300);
    expect(losses.list(400)).to.deep.equal(["b"]);
    expect(losses.list(100 + LOSS_WINDOW_MS)).to.deep.equal([]);
  });

  it("leave out planned stops", () => {
    const losses = new RecentLosses();
    losses.add(buildPeer("a"), "leaving", 0);
    losses.add(buildPeer("a"), "lost", 100);
    losses.add(buildPeer("a"), "restarted", 200);
    expect(losses.list(300)).to.deep.equal([]);
    losses.add(buildPeer("a"), "restarted", 400);
    expect(losses.list(500)).to.deep.equal(["a"]);
  });
});
