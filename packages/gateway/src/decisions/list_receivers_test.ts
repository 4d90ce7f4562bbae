import { expect } from "chai";
import { listReceivers } from "./list_receivers.ts";
import { PeerDirectory } from "./peer_directory.ts";
import { buildPeer } from "../peer_fixture_test.ts";

const IDS = ["a", "b", "c", "d", "e", "f"];
const PROGRAMS = Array.from({ length: 300 }, (_, index) => `p${index}`);

function buildDirectories(ids: readonly string[]): Map<string, PeerDirectory> {
  return new Map(ids.map((id) => {
    const directory = new PeerDirectory(buildPeer(id));
    for (const other of ids) directory.add(buildPeer(other));
    return [id, directory];
  }));
}

function listHomes(ids: readonly string[], program: string): string[] {
  const directory = buildDirectories(ids).get(ids[0] ?? "");
  return directory?.chooseHomes(program).map(({ vmId }) => vmId) ?? [];
}

/** Hands every account over as each gateway decides; counts the messages. */
function handOver(isHere: boolean) {
  const changed = "c";
  const others = IDS.filter((id) => id !== changed);
  const before = isHere ? others : IDS;
  const after = isHere ? IDS : others;
  const directories = buildDirectories(after);
  let messages = 0;
  for (const program of PROGRAMS) {
    const holders = new Set(listHomes(before, program));
    holders.delete(changed);
    for (const selfId of others) {
      const directory = directories.get(selfId);
      if (directory === undefined) continue;
      const change = { peer: buildPeer(changed), isHere };
      const receivers = listReceivers(directory, program, { selfId, change });
      if (receivers.length === 0) continue;
      expect(listHomes(before, program)).to.include(selfId);
      messages += receivers.length;
      for (const { vmId } of receivers) holders.add(vmId);
    }
    expect([...holders]).to.include.members(listHomes(after, program));
  }
  return messages;
}

describe("handing accounts over", () => {
  it("gives every account to its homes when a gateway is lost", () => {
    // Each gateway is a home of a third of the accounts; one sends each.
    expect(handOver(false)).to.be.within(70, 130);
  });

  it("gives every account to its homes when a gateway comes", () => {
    expect(handOver(true)).to.be.within(140, 260);
  });
});
