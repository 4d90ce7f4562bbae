import { expect } from "chai";
import {
  chooseParts,
  computeFirstAllowance,
  computePartTokens,
  FIRST_ALLOWANCE_PARTS,
  FirstAllowances,
  MAX_PROGRAM_LIFETIME_MS,
  MAX_TABLE_AGE_MS,
  SILENT_HOLDER_WAIT_MS,
} from "./first_allowances.ts";
import {
  buildShardTable,
  decodeShardTable,
  encodeShardTable,
  setRecorded,
  type ShardHolder,
  updateHolder,
  updateLostHolders,
} from "./shard_table.ts";

const HOLDERS = ["a", "b", "c"]
  .map((vmId) => ({ vmId, bootId: `boot ${vmId}`, recordsGrants: true }));
const ONE_HOLDER = HOLDERS.slice(0, 1);

/** Builds a table whose shards one process holds. */
function buildTable(change: Partial<ShardHolder> = {}): ShardHolder[] {
  return buildShardTable(ONE_HOLDER).map((each) => ({ ...each, ...change }));
}

/** Builds the first allowances of a process that holds every shard. */
function buildAllowances(change: Partial<ShardHolder> = {}): FirstAllowances {
  const allowances = new FirstAllowances("boot a");
  allowances.applyTable(buildTable(change), 0);
  allowances.confirmTable(0, 0);
  return allowances;
}

describe("first allowances", () => {
  it("aren't granted by a process that isn't in the table", () => {
    const allowances = new FirstAllowances("boot z");
    allowances.applyTable(buildShardTable(HOLDERS), 0);
    allowances.confirmTable(0, 0);
    expect(allowances.check("p", 0, 0)).to.equal("not_held");
  });

  it("aren't granted while an earlier holder's unrecorded ones may be spent", () => {
    const change = { isDoubtful: true, isRecorded: false };
    const allowances = buildAllowances(change);
    expect(allowances.check("p", 0, 0)).to.equal("doubtful");
    const later = MAX_PROGRAM_LIFETIME_MS + 3 * MAX_TABLE_AGE_MS;
    allowances.confirmTable(later, later);
    expect(allowances.check("p", later, later)).to.equal(undefined);
    expect(allowances.findParts("p")).to.equal(0);
  });

  // A gateway that's cut off but lives grants until its table is too old.
  it("aren't granted while a silent holder may still grant", () => {
    const change = { isDoubtful: true, mayHaveSilentHolder: true };
    const allowances = buildAllowances(change);
    const earlyMs = SILENT_HOLDER_WAIT_MS - 1;
    allowances.confirmTable(earlyMs, earlyMs);
    expect(allowances.check("p", earlyMs, earlyMs)).to.equal("doubtful");
    expect(allowances.check("p", earlyMs + 1, earlyMs + 1))
      .to.equal(undefined);
  });

  it("are looked up on the disks after an earlier holder's end", () => {
    const allowances = buildAllowances({ isDoubtful: true });
    expect(allowances.check("p", 0, 0)).to.equal(undefined);
    expect(allowances.findParts("p")).to.equal(undefined);
    allowances.setParts("p", 1, 0);
    expect(allowances.findParts("p")).to.equal(1);
  });

  it("aren't looked up while no other process has held the shard", () => {
    expect(buildAllowances().findParts("p")).to.equal(0);
  });

  it("are looked up again when a shard returns after it was another's", () => {
    const allowances = buildAllowances();
    allowances.setParts("p", 1, 0);
    allowances.applyTable(buildTable({ bootId: "boot b" }), 1);
    expect(allowances.check("p", 1, 1)).to.equal("not_held");
    allowances.applyTable(buildTable({ isDoubtful: true }), 2);
    expect(allowances.findParts("p")).to.equal(undefined);
  });

  it("aren't granted on a stale table, even after the VM was suspended", () => {
    const allowances = buildAllowances();
    const lateMs = MAX_TABLE_AGE_MS + 1;
    expect(allowances.check("p", lateMs, 0)).to.equal("stale");
    expect(allowances.check("p", 0, lateMs)).to.equal("stale");
    expect(allowances.check("p", lateMs - 1, lateMs - 1)).to.equal(undefined);
  });

  it("aren't granted after the shards were released", () => {
    const allowances = buildAllowances();
    allowances.setParts("p", 1, 0);
    expect(allowances.release()).to.deep.equal(["p"]);
    expect(allowances.check("q", 0, 0)).to.equal("not_held");
  });

  it("of a program that an earlier holder reported are looked up", () => {
    const allowances = buildAllowances();
    allowances.addGranted(["p"], 0);
    expect(allowances.findParts("p")).to.equal(undefined);
    expect(allowances.findParts("q")).to.equal(0);
  });

  // The build before grants all at once, and tells only to whom.
  it("of a program that a holder without records reported are all granted", () => {
    const allowances = buildAllowances({ isRecorded: false });
    allowances.addGranted(["p"], 0);
    expect(allowances.findParts("p")).to.equal(FIRST_ALLOWANCE_PARTS);
    expect(allowances.needsRecord("q")).to.equal(false);
  });

  it("of a table without records are recorded before it's marked", () => {
    const allowances = buildAllowances({ isRecorded: false });
    allowances.addGranted(["p"], 0);
    allowances.setParts("q", FIRST_ALLOWANCE_PARTS, 0);
    expect([...allowances.startRecording(0) ?? []].sort()).to.deep.equal([
      ["p", FIRST_ALLOWANCE_PARTS],
      ["q", FIRST_ALLOWANCE_PARTS],
    ]);
    expect(allowances.needsRecord("r")).to.equal(true);
    allowances.setParts("r", 1, 0);
    expect(allowances.startRecording(0)?.get("r")).to.equal(1);
    allowances.applyTable(buildTable(), 1);
    expect(allowances.startRecording(1)).to.equal(undefined);
    expect(allowances.findParts("r")).to.equal(1);
    expect(allowances.findParts("p")).to.equal(undefined);
  });

  // A build without records that writes the table drops the marks of all shards.
  it("are still looked up after the table lost its mark, which is set again", () => {
    const allowances = buildAllowances({ isDoubtful: true });
    allowances.addGranted(["p"], 0);
    allowances.applyTable(
      buildTable({ isDoubtful: true, isRecorded: false }),
      1,
    );
    expect(allowances.findParts("p")).to.equal(undefined);
    expect(allowances.findParts("q")).to.equal(undefined);
    expect(allowances.needsRecord("q")).to.equal(true);
    expect([...allowances.startRecording(1) ?? ["none"]]).to.deep.equal([]);
    expect(allowances.isRecording(1)).to.equal(true);
  });

  // The table that named the holder in between may never have arrived here.
  it("are looked up again when the table says that another process held them", () => {
    const allowances = buildAllowances();
    allowances.setParts("p", 1, 0);
    allowances.applyTable(buildTable({ isDoubtful: true }), 1);
    expect(allowances.findParts("p")).to.equal(undefined);
  });

  it("expire with their program", () => {
    const allowances = buildAllowances();
    allowances.setParts("p", 1, 0);
    allowances.removeExpired(MAX_PROGRAM_LIFETIME_MS + 1);
    expect(allowances.release()).to.deep.equal([]);
  });

  it("have parts that add up to the whole, of any budget", () => {
    for (const budgetTokens of [0, 1, 7, 48, 1_782, 4_536]) {
      let tokens = 0;
      for (let parts = 0; parts < FIRST_ALLOWANCE_PARTS; parts += 1) {
        tokens += computePartTokens(budgetTokens, parts + 1) -
          computePartTokens(budgetTokens, parts);
      }
      expect(tokens).to.equal(computeFirstAllowance(budgetTokens));
    }
  });

  it("are granted in as few parts as cover the wanted tokens", () => {
    const choose = (before: number, wantedTokens: number) =>
      chooseParts(before, { budgetTokens: 80, wantedTokens });
    expect([choose(0, 10), choose(0, 11), choose(1, 10)])
      .to.deep.equal([1, 2, 2]);
    expect([choose(0, 1_000), choose(3, 10)]).to.deep.equal([4, 4]);
  });
});

describe("shard table", () => {
  it("is the same after encoding and decoding", () => {
    const table = buildShardTable(HOLDERS);
    expect(decodeShardTable(encodeShardTable(table))._unsafeUnwrap())
      .to.deep.equal(table);
  });

  it("assigns about the same number of shards to every process", () => {
    const table = buildShardTable(HOLDERS);
    for (const { vmId } of HOLDERS) {
      expect(table.filter((each) => each.vmId === vmId).length)
        .to.be.within(250, 430);
    }
  });

  it("keeps the other holders when one has ended", () => {
    const table = buildShardTable(HOLDERS);
    const changed = updateLostHolders(
      table,
      HOLDERS.slice(1),
      ({ vmId }) => vmId === "a" ? "ended" : undefined,
    );
    for (const [shard, before] of table.entries()) {
      if (before.vmId !== "a") expect(changed?.[shard]).to.equal(before);
      else {
        expect(changed?.[shard]).to.include({
          isDoubtful: true,
          isRecorded: true,
          mayHaveSilentHolder: false,
        });
      }
    }
    expect(updateLostHolders(table, HOLDERS, () => undefined))
      .to.equal(undefined);
  });

  it("remembers a silent holder through the end of the next one", () => {
    const silent = updateLostHolders(
      buildTable(),
      HOLDERS.slice(1, 2),
      () => "silent",
    ) ?? [];
    const ended = updateLostHolders(silent, HOLDERS, () => "ended");
    expect(ended?.[0]).to.include({ mayHaveSilentHolder: true });
  });

  // A process of the build before grants without a record.
  it("doesn't count grants as recorded once a holder may not record them", () => {
    const old = [{ vmId: "b", bootId: "2", recordsGrants: false }];
    const replaced = updateLostHolders(buildTable(), old, () => "ended") ?? [];
    const [transferred] = updateHolder(buildTable(), "boot a", {
      vmId: "b",
      bootId: "2",
      recordsGrants: false,
    });
    expect(replaced[0]).to.include({ isRecorded: false });
    expect(transferred).to.include({ isRecorded: false });
    const next = updateLostHolders(replaced, HOLDERS, () => "ended");
    expect(next?.[0]).to.include({ isRecorded: false, isDoubtful: true });
  });

  it("marks only the shards whose holder has recorded its grants", () => {
    const table = buildTable({ isRecorded: false });
    const marked = setRecorded(table, "boot a", (shard) => shard === 1);
    expect(marked?.[1]).to.include({ isRecorded: true });
    expect(marked?.[2]).to.include({ isRecorded: false });
    expect(setRecorded(table, "boot z", () => true)).to.equal(undefined);
    expect(setRecorded(buildTable(), "boot a", () => true))
      .to.equal(undefined);
  });

  it("keeps shards unverified when they are transferred", () => {
    const unverified = buildTable({
      isDoubtful: true,
      mayHaveSilentHolder: true,
    });
    const transferred = updateHolder(unverified, "boot a", {
      vmId: "b",
      bootId: "2",
      recordsGrants: true,
    });
    expect(transferred[0]).to.deep.equal({
      vmId: "b",
      bootId: "2",
      isDoubtful: true,
      isRecorded: true,
      mayHaveSilentHolder: true,
    });
  });

  it("isn't decoded from a malformed object", () => {
    for (
      const value of [undefined, "text", { holders: [] }, {
        holders: [{ vmId: 1 }],
        shards: Array(1_024).fill(0),
      }, { holders: [], shards: [1] }]
    ) {
      expect(decodeShardTable(value).isErr()).to.equal(true);
    }
  });
});
