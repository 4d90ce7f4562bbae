/**
 * Tests of charges, their split, their outbox and statements.
 */
import {
  type Charge,
  type ConfigurationValue,
  type Effect,
  type PlatformResponse,
  type ProgramSpec,
} from "@camphorlock/types";
import { expect } from "chai";
import fc from "fast-check";
import { EMPTY_CONFIGURATION } from "../configuration/value.ts";
import { decodeBatch, encodeBatch, formatBatchKey } from "./charge_lines.ts";
import { ChargeOutbox } from "./charge_outbox.ts";
import {
  buildCharge,
  computeCharge,
  findSplit,
  splitMicros,
} from "./split_charge.ts";
import { buildStatement, chooseLastBatches } from "./statement.ts";

const SPEC: ProgramSpec = {
  programId: "p0001-a",
  partner: "zincir",
  team: "joint",
  agent: "quote",
  programClass: "short",
  budgetMicros: 1_000,
  parallel: false,
};

function buildSplit(zincir: number, since: number) {
  return {
    costClass: "shared" as const,
    shares: [
      { partner: "zincir" as const, sharePpm: zincir },
      { partner: "okonkwo" as const, sharePpm: 1_000_000 - zincir },
    ],
    remainderTo: "okonkwo" as const,
    since,
  };
}

const VALUE: ConfigurationValue = {
  ...EMPTY_CONFIGURATION,
  models: [{
    model: "quotes",
    promptMicros: 1_000,
    cachedMicros: 100,
    completionMicros: 3_000,
  }],
  teams: [{ team: "joint", partner: "zincir", sharedWork: true }],
  costSplits: [buildSplit(550_000, 20)],
  pastSplits: [buildSplit(400_000, 5), buildSplit(500_000, 12)],
};

function buildEndedCharge(callId: string, revision: number): Charge {
  const micros = 101;
  return buildCharge(VALUE, {
    callId,
    spec: SPEC,
    micros,
    endedAtMs: 86_400_000,
    revision,
  });
}

describe("charges", () => {
  it("are rounded up to whole micros and lower for cached tokens", () => {
    const usage = { promptTokens: 30, cachedTokens: 20, completionTokens: 5 };
    const charge = computeCharge(VALUE, {
      kind: "model",
      model: "quotes",
      usage,
    });
    expect(charge).to.equal(10 + 2 + 15);
    const one = { promptTokens: 1, cachedTokens: 1, completionTokens: 0 };
    expect(computeCharge(VALUE, { kind: "model", model: "quotes", usage: one }))
      .to.equal(1);
  });

  it("follow the agreement in force when the call ended", () => {
    const revisions = [4, 5, 11, 12, 19, 20, 99].map((revision) => {
      return findSplit(VALUE, { costClass: "shared", revision }).since;
    });
    expect(revisions).to.deep.equal([0, 5, 5, 12, 12, 20, 20]);
    expect(buildEndedCharge("a", 14)).to.deep.include({
      costClass: "shared",
      agreementRevision: 12,
    });
  });

  it("are split into parts that add up", () => {
    const property = fc.property(
      fc.nat(Number.MAX_SAFE_INTEGER),
      fc.nat(1_000_000),
      (micros, zincir) => {
        const parts = splitMicros(micros, buildSplit(zincir, 1));
        const sum = parts.reduce((total, part) => total + part.micros, 0);
        expect(sum).to.equal(micros);
        expect(parts.every((part) => part.micros >= 0)).to.equal(true);
      },
    );
    fc.assert(property, { seed: 20_261_204 });
  });
});

describe("ChargeOutbox", () => {
  it("doesn't publish charges again that a batch already contains", () => {
    const outbox = new ChargeOutbox({ shard: 7 });
    const batch = {
      shard: 7,
      number: 4,
      day: "1970-01-02",
      throughSequence: 9,
      lines: [],
    };
    const key = formatBatchKey(7, 4);
    const value = encodeBatch(batch);
    const listed = { kind: "listed", keys: [{ key, version: 1 }] } as const;
    const found = {
      kind: "found",
      object: { key, value, version: 1 },
    } as const;
    respond(outbox, outbox.handle({ kind: "tick" }, 0).effects, [
      listed,
      found,
    ]);
    expect(outbox.publishedThrough).to.equal(9);
    const add = (sequence: number, callId: string): void => {
      const charge = buildEndedCharge(callId, 20);
      outbox.handle({ kind: "call_ended", sequence, charge }, 0);
    };
    add(9, "old");
    add(10, "new");
    add(11, "new");
    expect(outbox.listPending()).to.have.length(1);
    const { effects } = outbox.handle({ kind: "tick" }, 120_000);
    const put = effects[0];
    if (put?.kind !== "call_platform" || put.request.kind !== "put") {
      throw new Error("the outbox wrote no batch");
    }
    expect(put.request.key).to.equal(formatBatchKey(7, 5));
    const written = decodeBatch(put.request.value)._unsafeUnwrap();
    expect(written.throughSequence).to.equal(10);
    expect(written.lines[0]?.calls).to.equal(1);
  });
});

describe("buildStatement", () => {
  it("counts only each shard's last batch of a day", () => {
    const line = {
      partner: "zincir" as const,
      costClass: "shared" as const,
      agreementRevision: 20,
      calls: 1,
      micros: 101,
      split: buildEndedCharge("a", 20).split,
    };
    const first = {
      shard: 1,
      number: 1,
      day: "2026-12-01",
      throughSequence: 1,
      lines: [line],
    };
    const second = { ...first, number: 2, lines: [{ ...line, micros: 101 }] };
    const other = { ...first, shard: 2 };
    expect(chooseLastBatches([second, first, other])).to.have.length(2);
    const statement = buildStatement([first, second, other], {
      partner: "okonkwo",
      from: "2026-12-01",
      to: "2026-12-01",
    });
    expect(statement.chargedMicros).to.equal(202);
    expect(statement.payableMicros).to.equal(92);
    expect(statement.split.map(({ micros }) => micros)).to.deep.equal([
      110,
      92,
    ]);
  });
});

function respond(
  outbox: ChargeOutbox,
  effects: readonly Effect[],
  responses: readonly PlatformResponse[],
): void {
  let open = effects;
  for (const each of responses) {
    const effect = open[0];
    if (effect?.kind !== "call_platform") throw new Error("no request sent");
    const { token } = effect;
    open = outbox.handle({ kind: "platform", token, answer: each }, 0).effects;
  }
}
