import { expect } from "chai";
import type { Effect, LedgerEntry, ReplicaMessage } from "@camphorlock/types";
import { Replica } from "./mod.ts";

type KeepEntriesMessage = Extract<ReplicaMessage, { kind: "keep_entries" }>;

function createReplica(maxBytes = 10_000): Replica {
  return new Replica({ incarnation: 4, maxBytes, messageBytes: 1_000 });
}

function createEntries(from: number, through: number): LedgerEntry[] {
  const entries: LedgerEntry[] = [];
  for (let sequence = from; sequence <= through; sequence += 1) {
    const body = {
      kind: "program_ended",
      programId: `p${sequence}`,
      reason: "caller",
    } as const;
    entries.push({ shard: 1, epoch: 3, sequence, body });
  }
  return entries;
}

function createKeepEntries(
  fields: Partial<KeepEntriesMessage>,
): KeepEntriesMessage {
  return {
    kind: "keep_entries",
    shard: 1,
    epoch: 3,
    entries: [],
    storedThrough: 0,
    durableThrough: 0,
    keeperIncarnation: 4,
    token: 1,
    ...fields,
  };
}

function createSeal(epoch: number): ReplicaMessage {
  return { kind: "seal_keeper", shard: 1, epoch, afterSequence: 0, token: 2 };
}

function getMessage(effects: readonly Effect[]): ReplicaMessage | undefined {
  const effect = effects[0];
  return effect?.kind === "send_peer"
    ? effect.message as ReplicaMessage
    : undefined;
}

function handle(replica: Replica, message: ReplicaMessage): ReplicaMessage {
  const response = getMessage(replica.handle("vm-owner", message));
  if (response === undefined) throw new Error("the replica sent no response");
  return response;
}

describe("a replica", () => {
  it("acknowledges no entries after a gap", () => {
    const replica = createReplica();
    const late = createKeepEntries({ entries: createEntries(3, 4) });
    expect(handle(replica, late)).to.include({ keptThrough: 0 });
    const all = createKeepEntries({ entries: createEntries(1, 4) });
    expect(handle(replica, all)).to.include({ keptThrough: 4 });
  });

  it("ignores entries that are addressed to another process", () => {
    const replica = createReplica();
    const entries = createEntries(1, 2);
    const old = createKeepEntries({ entries, keeperIncarnation: 3 });
    const response = handle(replica, old);
    expect(response).to.include({ keptThrough: 0, keeperIncarnation: 4 });
    expect(replica.bytes).to.equal(0);
  });

  it("refuses epochs below the seal and returns its entries", () => {
    const replica = createReplica();
    handle(replica, createKeepEntries({ entries: createEntries(1, 2) }));
    const sealed = handle(replica, createSeal(5));
    expect(sealed).to.include({ heldEpoch: 3, complete: true, more: false });
    const refused = handle(replica, createKeepEntries({}));
    expect(refused).to.include({ kind: "keep_refused", sealedEpoch: 5 });
    const lower = handle(replica, createSeal(4));
    expect(lower).to.include({ kind: "keep_refused", sealedEpoch: 5 });
  });

  it("isn't complete without an entry that its owner reported durable", () => {
    const replica = createReplica();
    const part = createKeepEntries({
      entries: createEntries(1, 2),
      durableThrough: 3,
    });
    handle(replica, part);
    expect(handle(replica, createSeal(5))).to.include({ complete: false });
  });

  it("drops stored entries and holds a bounded amount", () => {
    const replica = createReplica(300);
    const many = createKeepEntries({ entries: createEntries(1, 30) });
    const response = handle(replica, many);
    expect(replica.bytes).to.be.within(100, 300);
    expect(response.kind === "entries_kept" && response.keptThrough)
      .to.be.within(1, 10);
    handle(replica, createKeepEntries({ storedThrough: 30 }));
    expect(replica.bytes).to.equal(0);
  });

  it("drops an earlier epoch's entries when a new epoch opens", () => {
    const replica = createReplica();
    handle(replica, createKeepEntries({ entries: createEntries(1, 2) }));
    handle(replica, createKeepEntries({ epoch: 6, storedThrough: 2 }));
    expect(replica.bytes).to.equal(0);
    expect(handle(replica, createKeepEntries({}))).to.include({
      sealedEpoch: 6,
    });
  });
});
