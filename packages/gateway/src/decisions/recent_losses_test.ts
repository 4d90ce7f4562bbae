import { expect } from "chai";
import type { PeerInfo } from "./peer_directory.ts";
import { LOSS_WINDOW_MS, RecentLosses } from "./recent_losses.ts";

function buildPeer(vmId: string): PeerInfo {
  return {
    vmId,
    host: "127.0.0.1",
    port: 1,
    region: "north",
    bootId: "1",
    isLeaving: false,
  };
}

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
