import { expect } from "chai";
import type { LedgerEntry, ReplicaMessage } from "@camphorlock/types";
import { ReplicaSeals } from "./replica_seals.ts";

function createEntry(sequence: number): LedgerEntry {
  const body = {
    kind: "program_ended",
    programId: `p${sequence}`,
    reason: "caller",
  } as const;
  return { shard: 1, epoch: 1, sequence, body };
}

function createSealed(
  sequences: readonly number[],
  keptThrough: number,
): ReplicaMessage {
  const last = sequences.at(-1) ?? keptThrough;
  return {
    kind: "keeper_sealed",
    shard: 1,
    epoch: 2,
    heldEpoch: 1,
    entries: sequences.map(createEntry),
    more: last < keptThrough,
    storedThrough: 4,
    keptThrough,
    complete: true,
    keeperIncarnation: 1,
    token: 1,
  };
}

describe("the seals of a recovery", () => {
  it("wait for the pages that precede an out-of-order page", () => {
    const keepers = ["vm-a", "vm-b"].map((vmId) => ({ vmId, incarnation: 1 }));
    const seals = new ReplicaSeals({
      shard: 1,
      epoch: 2,
      open: { epoch: 1, keepers },
      newReplicas: [],
      storedThrough: 4,
      resendAfterMs: 100,
      maxResendMs: 2_000,
    });
    seals.handle("vm-a", createSealed([7, 8], 8));
    expect(seals.verdict).to.equal("unproved");
    seals.handle("vm-a", createSealed([5, 6], 8));
    expect(seals.verdict).to.equal("unproved");
    seals.handle("vm-a", createSealed([7, 8], 8));
    expect(seals.verdict).to.equal("proved");
    const tail = seals.mergeTail().map((each) => each.sequence);
    expect(tail).to.deep.equal([5, 6, 7, 8]);
  });
});
