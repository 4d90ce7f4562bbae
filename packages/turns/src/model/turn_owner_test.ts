import { expect } from "chai";
import { encodeRecord, readRecords } from "../files/record_format.ts";
import {
  decodeTurnRecords,
  readClock,
  TurnRecordEncoder,
} from "../files/turn_records.ts";
import { decodeTurn, type EncodedTurn, encodeTurn } from "../messages.ts";
import type { KeptTurn } from "./kept_turn.ts";
import { canContinueChain, decodeRunner, encodeRunner } from "./turn_owner.ts";

const OWNED: KeptTurn = {
  id: "t1",
  parentId: undefined,
  input: Buffer.from("input"),
  output: Buffer.from("output\n"),
  targetId: "i-1",
  tenant: "red",
  retentionMs: 60_000,
  endedAtMs: 0,
};
const UNOWNED: KeptTurn = { ...OWNED };
delete (UNOWNED as { tenant?: string }).tenant;

/** The fields that a disk of the build before reads of a turn, and passes on. */
function passThroughBuildBefore(turn: EncodedTurn): EncodedTurn {
  const { id, parentId, input, output, targetId, retentionMs, ageMs } = turn;
  return {
    id,
    ...(parentId === undefined ? {} : { parentId }),
    input,
    output,
    targetId,
    retentionMs,
    ageMs,
  };
}

/** The fields of a record that the build before writes and reads. */
function buildRecordBefore(targetId: string) {
  return {
    kind: "turn",
    id: "t1",
    parentId: undefined,
    blocks: [],
    rest: Buffer.from("input"),
    output: Buffer.from("output\n"),
    targetId,
    retentionMs: 60_000,
    endedAtUnixMs: 1,
  } as const;
}

function decodeBytes(bytes: Buffer): KeptTurn | undefined {
  return decodeTurnRecords(readRecords(bytes).records, readClock()).turns[0];
}

describe("the owner of a kept turn", () => {
  it("stays with the turn on the wire and on disk", () => {
    const onWire = decodeTurn(encodeTurn(OWNED, 0), 0)._unsafeUnwrap();
    expect(onWire).to.deep.equal(OWNED);
    const bytes = new TurnRecordEncoder().encode(OWNED, readClock());
    expect(decodeBytes(bytes)).to.include({ tenant: "red", targetId: "i-1" });
  });

  // During a replacement of the disks, a copy without the owner could be
  // continued by any tenant.
  it("outlasts a disk of the build before", () => {
    const copied = passThroughBuildBefore(encodeTurn(OWNED, 0));
    expect(decodeTurn(copied, 0)._unsafeUnwrap()).to.deep.equal(OWNED);
    const record = encodeRecord(buildRecordBefore(copied.targetId));
    expect(decodeBytes(record)).to.include({ tenant: "red", targetId: "i-1" });
  });

  // After a rollback, the build before has to read what this one wrote.
  it("changes neither the fields nor their types", () => {
    const encoded = encodeTurn(OWNED, 0);
    expect(encoded).to.deep.equal(passThroughBuildBefore(encoded));
    const bytes = new TurnRecordEncoder().encode(OWNED, readClock());
    const [record] = readRecords(bytes).records;
    expect(Object.keys(record ?? {}).sort())
      .to.deep.equal(Object.keys(buildRecordBefore("i-1")).sort());
    expect(record).to.have.property("targetId").that.is.a("string");
  });

  it("is nobody in turns of the build before, and of installations without tenants", () => {
    const record = encodeRecord(buildRecordBefore("i-1"));
    expect(decodeBytes(record)).to.include({ targetId: "i-1" });
    expect(decodeBytes(record)).not.to.have.property("tenant");
    expect(encodeTurn(UNOWNED, 0).targetId).to.equal("i-1");
    expect(decodeTurn(encodeTurn(UNOWNED, 0), 0)._unsafeUnwrap())
      .to.deep.equal(UNOWNED);
  });

  it("is told from the target, also if that's unknown", () => {
    for (const runner of [OWNED, { targetId: "", tenant: "a b\u00fc" }]) {
      const { targetId, tenant } = runner;
      expect(decodeRunner(encodeRunner(runner)))
        .to.deep.equal({ targetId, tenant });
    }
  });

  it("alone may continue it", () => {
    expect(canContinueChain([], "blue")).to.equal(true);
    expect(canContinueChain([OWNED], "red")).to.equal(true);
    expect(canContinueChain([OWNED], "blue")).to.equal(false);
    expect(canContinueChain([OWNED], undefined)).to.equal(false);
    expect(canContinueChain([UNOWNED], "blue")).to.equal(true);
    // A gateway of the build before may have put an unowned turn at the end.
    expect(canContinueChain([OWNED, UNOWNED], "blue")).to.equal(false);
  });
});
