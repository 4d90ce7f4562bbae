/**
 * Tests of the checks that changes of the configuration pass.
 */
import type { ChangeCommand, ConfigurationValue } from "@camphorlock/types";
import { expect } from "chai";
import { applyChange } from "./apply_change.ts";
import { decodeRecord, encodeRecord } from "./record.ts";
import { applyPatch, buildPatch, EMPTY_CONFIGURATION } from "./value.ts";

const VALUE: ConfigurationValue = {
  ...EMPTY_CONFIGURATION,
  targets: ["engine-1", "engine-2"].map((targetId) => ({
    targetId,
    kind: "engine" as const,
    serves: ["quotes"],
    region: "lagos",
    failureDomain: "lagos-1",
    address: `${targetId}:8000`,
    checksFencing: true,
    leaving: false,
  })),
  teams: [{ team: "designers", partner: "zincir", sharedWork: false }],
};

function apply(change: ChangeCommand): ConfigurationValue {
  return applyChange(VALUE, change, { revision: 9 })._unsafeUnwrap();
}

function refuse(change: ChangeCommand): string {
  return applyChange(VALUE, change, { revision: 9 })._unsafeUnwrapErr().detail;
}

function buildSplit(zincir: number, okonkwo: number): ChangeCommand {
  return {
    kind: "split_costs",
    costClass: "shared",
    shares: [
      { partner: "zincir", sharePpm: zincir },
      { partner: "okonkwo", sharePpm: okonkwo },
    ],
  };
}

describe("applyChange", () => {
  it("records the revision of a split and keeps the replaced one", () => {
    const first = apply(buildSplit(550_000, 450_000));
    expect(first.costSplits[0]).to.deep.include({ since: 9 });
    const change = buildSplit(400_000, 600_000);
    const next = applyChange(first, change, { revision: 12 })._unsafeUnwrap();
    expect(next.costSplits[0]).to.deep.include({ since: 12 });
    expect(next.pastSplits).to.deep.equal(first.costSplits);
  });

  it("refuses shares that don't sum to 100%", () => {
    expect(refuse(buildSplit(550_000, 440_000))).to.equal(
      "the shares sum to 99%, not to 100%",
    );
    expect(refuse(buildSplit(1_100_000, -100_000))).to.contain("negative");
  });

  it("refuses unknown names and suggests the nearest known one", () => {
    const budget = {
      kind: "set_budget",
      budget: "team",
      name: "designer",
      limitMicros: 1,
    } as const;
    expect(refuse(budget)).to.contain("did you mean designers?");
    const drain = {
      kind: "drain_target",
      targetId: "engin-1",
      draining: true,
    } as const;
    expect(refuse(drain)).to.contain("did you mean engine-1?");
    const place = {
      kind: "place_partner",
      partner: "zincir",
      regions: ["lagoss"],
    } as const;
    expect(refuse(place)).to.contain("did you mean lagos?");
    const policy = {
      kind: "set_policy",
      name: "placement",
      value: "randon",
    } as const;
    expect(refuse(policy)).to.contain("did you mean random?");
  });

  it("refuses negative amounts and the removal of a target in service", () => {
    const budget = {
      kind: "set_budget",
      budget: "program",
      name: "default",
      limitMicros: -1,
    } as const;
    expect(refuse(budget)).to.contain("can't be -1 micros");
    const removal = { kind: "remove_target", targetId: "engine-1" } as const;
    expect(refuse(removal)).to.contain("isn't drained");
  });

  it("refuses to change a team's partner or cost class", () => {
    const team = { kind: "set_team", team: "designers" } as const;
    expect(refuse({ ...team, partner: "okonkwo", sharedWork: false }))
      .to.contain("belongs to zincir");
    expect(refuse({ ...team, partner: "zincir", sharedWork: true }))
      .to.contain("can't change");
  });

  it("refuses an invalid import and lists every broken rule", () => {
    const value = {
      ...VALUE,
      policies: [{ name: "speed", value: "fast" }],
      budgets: [{ kind: "team" as const, name: "x", limitMicros: 0.5 }],
      teams: [...VALUE.teams, ...VALUE.teams],
    };
    const detail = refuse({ kind: "import_configuration", value });
    expect(detail).to.contain("teams has designers twice");
    expect(detail).to.contain("budget team x");
    expect(detail).to.contain("unknown policy speed");
  });

  it("builds patches and records that reproduce the value", () => {
    const after = apply({
      kind: "drain_target",
      targetId: "engine-2",
      draining: true,
    });
    const patch = buildPatch(VALUE, after);
    expect(patch.targets?.set).to.have.length(1);
    expect(applyPatch(VALUE, patch)).to.deep.equal(after);
    const record = {
      revision: 33,
      changeId: "c",
      by: { partner: "zincir" as const, operator: "ayse" },
      command: "drain target engine-2",
      atMs: 1,
      patch,
      full: after,
    };
    expect(decodeRecord(encodeRecord(record))._unsafeUnwrap())
      .to.deep.equal(record);
    expect(decodeRecord(Uint8Array.of(1, 2)).isErr()).to.equal(true);
  });
});
