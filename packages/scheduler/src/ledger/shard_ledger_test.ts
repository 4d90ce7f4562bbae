import { expect } from "chai";
import type {
  Effect,
  PlatformResponse,
  PlatformToken,
  ReplicaMessage,
  VmId,
} from "@camphorlock/types";
import {
  DEFAULT_LEDGER_LIMITS,
  type LedgerNotice,
  type LedgerStep,
  ShardLedger,
  WritePacer,
} from "./mod.ts";

type KeepEntriesMessage = Extract<ReplicaMessage, { kind: "keep_entries" }>;

const REPLICAS: readonly VmId[] = ["vm-a", "vm-b", "vm-c"];
const BODY = {
  kind: "program_ended",
  programId: "p0001-1",
  reason: "caller",
} as const;

function createLedger(replicas = REPLICAS): ShardLedger {
  return new ShardLedger({
    self: "vm-0",
    shard: 1,
    epoch: 3,
    keepers: replicas.map((vmId) => ({ vmId, incarnation: 1 })),
    formerReplicas: [],
    firstSequence: 1,
    nextSegment: 0,
    extents: [],
    failureDomainOf: (vmId) => `domain of ${vmId}`,
    limits: DEFAULT_LEDGER_LIMITS,
    pacer: new WritePacer({ writesPerSecond: 100 }),
  });
}

function listKeepEntries(
  effects: readonly Effect[],
): [VmId, KeepEntriesMessage][] {
  return effects.flatMap((effect): [VmId, KeepEntriesMessage][] =>
    effect.kind === "send_peer" && effect.message.kind === "keep_entries"
      ? [[effect.to, effect.message]]
      : []
  );
}

function listPuts(effects: readonly Effect[]): [PlatformToken, string][] {
  return effects.flatMap((effect): [PlatformToken, string][] =>
    effect.kind === "call_platform" && effect.request.kind === "put"
      ? [[effect.token, effect.request.key]]
      : []
  );
}

function acknowledge(
  ledger: ShardLedger,
  keep: [VmId, KeepEntriesMessage],
  keptThrough: number,
): LedgerStep {
  const [from, { shard, epoch, token }] = keep;
  const message: ReplicaMessage = {
    kind: "entries_kept",
    shard,
    epoch,
    keptThrough,
    keeperIncarnation: 1,
    token,
  };
  return ledger.handle({ kind: "peer", from, message }, 10);
}

function completePut(
  ledger: ShardLedger,
  put: [PlatformToken, string] | undefined,
): LedgerStep {
  if (put === undefined) throw new Error("no put request was sent");
  const [token, key] = put;
  const response: PlatformResponse = { kind: "stored", key, version: 1 };
  return ledger.handle({ kind: "platform", token, answer: response }, 20);
}

function append(ledger: ShardLedger, nowMs = 0): readonly Effect[] {
  return ledger.append([BODY], nowMs)._unsafeUnwrap().effects;
}

/** Acknowledges every message until no more are sent. */
function acknowledgeAll(
  ledger: ShardLedger,
  effects: readonly Effect[],
  keptThrough: number,
): LedgerNotice[] {
  const notices: LedgerNotice[] = [];
  const keeps = listKeepEntries(effects);
  for (const keep of keeps) {
    const step = acknowledge(ledger, keep, keptThrough);
    notices.push(...step.notices);
    keeps.push(...listKeepEntries(step.effects));
  }
  return notices;
}

describe("an owner's ledger", () => {
  it("sends replicas the sequence that it reported durable", () => {
    const ledger = createLedger();
    acknowledgeAll(ledger, append(ledger), 1);
    expect(ledger.durableThrough).to.equal(1);
    const keeps = listKeepEntries(append(ledger));
    expect(keeps.map(([, keep]) => keep.durableThrough))
      .to.deep.equal([1, 1, 1]);
  });

  it("isn't confirmed by a segment started before the request", () => {
    const ledger = createLedger([]);
    const put = listPuts(append(ledger))[0];
    const { token } = ledger.confirm(5);
    const first = completePut(ledger, put);
    expect(first.notices.map((each) => each.kind)).to.deep.equal(["durable"]);
    const later = ledger.handle({ kind: "tick" }, 200);
    const puts = listPuts([...first.effects, ...later.effects]);
    const second = completePut(ledger, puts[0]);
    expect(second.notices).to.deep.equal([{ kind: "confirmed", token }]);
  });

  it("isn't confirmed by a response to an earlier message", () => {
    const ledger = createLedger();
    const effects = append(ledger);
    const { token } = ledger.confirm(1);
    const steps = listKeepEntries(effects).map((keep) =>
      acknowledge(ledger, keep, 1)
    );
    const notices = steps.flatMap((step) => step.notices);
    expect(notices.map((each) => each.kind)).to.deep.equal(["durable"]);
    const later = steps.flatMap((step) => step.effects);
    expect(acknowledgeAll(ledger, later, 1))
      .to.deep.equal([{ kind: "confirmed", token }]);
  });

  it("ignores replicas once the log may be closed", () => {
    const ledger = createLedger();
    const effects = append(ledger);
    ledger.handle({ kind: "tick" }, 2);
    const put = listPuts(effects)[0];
    expect(completePut(ledger, put).notices).to.have.length(1);
    const more = append(ledger, 30);
    const closing = ledger.close(500);
    expect(listPuts(closing)).to.have.length(1);
    const offered = [...effects, ...more, ...closing];
    expect(acknowledgeAll(ledger, offered, 2)).to.deep.equal([]);
    const confirming = ledger.confirm(501).effects;
    expect(acknowledgeAll(ledger, confirming, 2)).to.deep.equal([]);
    const closed = completePut(ledger, listPuts(closing)[0]);
    expect(closed.notices.map((each) => each.kind))
      .to.deep.equal(["durable", "closed"]);
    expect(ledger.append([BODY], 600).isErr()).to.equal(true);
  });

  it("writes a snapshot only after its last entry is stored", () => {
    const ledger = createLedger([]);
    const first = append(ledger);
    const content = { throughSequence: 1, parts: [new Uint8Array(3)] };
    const early = ledger.startSnapshot(content, 1_000);
    const keys = listPuts([...first, ...early]).map(([, key]) => key);
    expect(keys).to.deep.equal(["ledger/1/000000"]);
    const step = completePut(ledger, listPuts(first)[0]);
    const next = listPuts(step.effects).map(([, key]) => key);
    expect(next[0]).to.match(/^snapshot\/1\/part\//);
  });

  it("needs a snapshot when the live segments hold many bytes", () => {
    const ledger = createLedger([]);
    expect(ledger.needsSnapshot).to.equal(false);
    const programId = "p".repeat(800_000);
    let effects = ledger.append([{ ...BODY, programId }], 0)._unsafeUnwrap()
      .effects;
    for (let each = 1; each <= 40; each += 1) {
      completePut(ledger, listPuts(effects)[0]);
      const nowMs = each * 1_000;
      effects = ledger.append([{ ...BODY, programId }], nowMs)._unsafeUnwrap()
        .effects;
    }
    expect(ledger.needsSnapshot).to.equal(true);
  });

  it("pauses sending entries to a replica without space", () => {
    const ledger = createLedger();
    const keep = listKeepEntries(append(ledger))[0];
    if (keep === undefined) throw new Error("no message was sent to a replica");
    const step = acknowledge(ledger, keep, 0);
    expect(listKeepEntries(step.effects)).to.deep.equal([]);
    const isOffered = (effects: readonly Effect[]): boolean =>
      listKeepEntries(effects).some(([to]) => to === keep[0]);
    const soon = ledger.handle({ kind: "tick" }, 1_000);
    expect(isOffered(soon.effects)).to.equal(false);
    const later = ledger.handle({ kind: "tick" }, 2_100);
    expect(isOffered(later.effects)).to.equal(true);
  });

  it("refuses an entry that no segment can hold", () => {
    const ledger = createLedger();
    const programId = "p".repeat(1_000_000);
    const refused = ledger.append([{ ...BODY, programId }], 0);
    expect(refused._unsafeUnwrapErr().name).to.equal("EntryTooLarge");
    expect(ledger.lastSequence).to.equal(0);
  });
});
