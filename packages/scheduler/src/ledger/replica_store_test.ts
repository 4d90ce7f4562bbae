import { expect } from "chai";
import type { Effect, KeeperMessage, LedgerEntry } from "@camphorlock/types";
import { Keeper } from "./mod.ts";

type KeepMessage = Extract<KeeperMessage, { kind: "keep_entries" }>;

function createKeeper(maxBytes = 10_000): Keeper {
  return new Keeper({ incarnation: 4, maxBytes, messageBytes: 1_000 });
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

function createKeep(fields: Partial<KeepMessage>): KeepMessage {
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

function createSeal(epoch: number): KeeperMessage {
  return { kind: "seal_keeper", shard: 1, epoch, afterSequence: 0, token: 2 };
}

function getMessage(effects: readonly Effect[]): KeeperMessage | undefined {
  const effect = effects[0];
  return effect?.kind === "send_peer"
    ? effect.message as KeeperMessage
    : undefined;
}

function handle(keeper: Keeper, message: KeeperMessage): KeeperMessage {
  const answer = getMessage(keeper.handle("vm-owner", message));
  if (answer === undefined) throw new Error("no answer");
  return answer;
}

describe("a keeper", () => {
  it("acknowledges nothing after a gap", () => {
    const keeper = createKeeper();
    const late = createKeep({ entries: createEntries(3, 4) });
    expect(handle(keeper, late)).to.include({ keptThrough: 0 });
    const all = createKeep({ entries: createEntries(1, 4) });
    expect(handle(keeper, all)).to.include({ keptThrough: 4 });
  });

  it("takes no message that was meant for another process", () => {
    const keeper = createKeeper();
    const entries = createEntries(1, 2);
    const old = createKeep({ entries, keeperIncarnation: 3 });
    const answer = handle(keeper, old);
    expect(answer).to.include({ keptThrough: 0, keeperIncarnation: 4 });
    expect(keeper.bytes).to.equal(0);
  });

  it("refuses epochs below the seal and gives its entries", () => {
    const keeper = createKeeper();
    handle(keeper, createKeep({ entries: createEntries(1, 2) }));
    const sealed = handle(keeper, createSeal(5));
    expect(sealed).to.include({ heldEpoch: 3, complete: true, more: false });
    const refused = handle(keeper, createKeep({}));
    expect(refused).to.include({ kind: "keep_refused", sealedEpoch: 5 });
    const lower = handle(keeper, createSeal(4));
    expect(lower).to.include({ kind: "keep_refused", sealedEpoch: 5 });
  });

  it("isn't complete below what its owner reported durable", () => {
    const keeper = createKeeper();
    const part = createKeep({
      entries: createEntries(1, 2),
      durableThrough: 3,
    });
    handle(keeper, part);
    expect(handle(keeper, createSeal(5))).to.include({ complete: false });
  });

  it("drops what is stored and holds a bounded amount", () => {
    const keeper = createKeeper(300);
    const many = createKeep({ entries: createEntries(1, 30) });
    const answer = handle(keeper, many);
    expect(keeper.bytes).to.be.within(100, 300);
    expect(answer.kind === "entries_kept" && answer.keptThrough)
      .to.be.within(1, 10);
    handle(keeper, createKeep({ storedThrough: 30 }));
    expect(keeper.bytes).to.equal(0);
  });

  it("drops an earlier epoch's entries for the epoch that opened", () => {
    const keeper = createKeeper();
    handle(keeper, createKeep({ entries: createEntries(1, 2) }));
    handle(keeper, createKeep({ epoch: 6, storedThrough: 2 }));
    expect(keeper.bytes).to.equal(0);
    expect(handle(keeper, createKeep({}))).to.include({ sealedEpoch: 6 });
  });
});
