/**
 * Tests of the configuration role of one node: how it stores changes and when
 * it's ready. Each test controls the platform's responses.
 */
import type {
  ChangeCommand,
  ConfigurationValue,
  Effect,
  MembershipView,
  OperatorName,
  PlatformRequest,
  PlatformResponse,
  RevisionRecord,
} from "@camphorlock/types";
import { expect } from "chai";
import { Configuration } from "./configuration.ts";
import { RevisionHistory } from "./history.ts";
import type { ConfigurationInput, ConfigurationNotice } from "./inputs.ts";
import { encodeRecord, formatRevisionKey } from "./record.ts";
import { buildPatch, EMPTY_CONFIGURATION } from "./value.ts";

const AYSE: OperatorName = { partner: "zincir", operator: "ayse" };
const OBI: OperatorName = { partner: "okonkwo", operator: "obi" };
const LOST: PlatformResponse = { kind: "failed", reason: "lost" };
const VALUE: ConfigurationValue = {
  ...EMPTY_CONFIGURATION,
  teams: [
    { team: "designers", partner: "zincir", sharedWork: false },
    { team: "moulders", partner: "okonkwo", sharedWork: false },
  ],
};

function buildRecord(
  revision: number,
  change: Partial<RevisionRecord> = {},
): RevisionRecord {
  return {
    revision,
    changeId: `stored-${revision}`,
    by: OBI,
    command: `command ${revision}`,
    atMs: 0,
    patch: {},
    ...change,
  };
}

function buildBudgetRecord(revision: number, team: string): RevisionRecord {
  const item = { kind: "team" as const, name: team, limitMicros: 1 };
  const patch = { budgets: { set: [item], removed: [] } };
  return buildRecord(revision, { patch });
}

function buildBudgetChange(team: string): ChangeCommand {
  return { kind: "set_budget", budget: "team", name: team, limitMicros: 7 };
}

/** Replaces the response of the object store if it returns one. */
type Interceptor = (request: PlatformRequest) => PlatformResponse | undefined;

/** A configuration role with an object store that the test controls. */
class TestNode {
  readonly role = new Configuration({
    self: "vm-1",
    incarnation: 1,
    region: "lagos",
  });
  readonly objects = new Map<string, Uint8Array>();
  readonly notices: ConfigurationNotice[] = [];
  intercept: Interceptor = () => undefined;
  nowMs = 0;

  constructor(records: readonly RevisionRecord[]) {
    for (const record of records) this.store(record);
    this.handle({ kind: "tick" });
  }

  store(record: RevisionRecord): void {
    this.objects.set(formatRevisionKey(record.revision), encodeRecord(record));
  }

  handle(input: ConfigurationInput): void {
    const step = this.role.handle(input, this.nowMs);
    this.notices.push(...step.notices);
    for (const effect of step.effects) this.#applyEffect(effect);
  }

  change(requestId: string, change: ChangeCommand, ifRevision?: number): void {
    this.handle({
      kind: "change",
      requestId,
      change,
      text: `text of ${requestId}`,
      by: AYSE,
      atMs: 0,
      ...(ifRevision === undefined ? {} : { ifRevision }),
    });
  }

  runTo(untilMs: number): void {
    while (this.nowMs < untilMs) {
      this.nowMs += 250;
      this.handle({ kind: "tick" });
    }
  }

  findNotice(kind: ConfigurationNotice["kind"]): ConfigurationNotice {
    const found = this.notices.find((notice) => notice.kind === kind);
    if (found === undefined) throw new Error(`no notice ${kind}`);
    return found;
  }

  listKinds(): readonly string[] {
    return this.notices.map((notice) => notice.kind)
      .filter((kind) => kind.startsWith("change_"));
  }

  #applyEffect(effect: Effect): void {
    if (effect.kind !== "call_platform") return;
    if (effect.request.kind === "watch") return;
    const response = this.intercept(effect.request) ??
      this.#buildResponse(effect.request);
    this.handle({
      kind: "platform",
      token: effect.token,
      answer: response,
    });
  }

  #buildResponse(request: PlatformRequest): PlatformResponse {
    switch (request.kind) {
      case "get": {
        const { key } = request;
        const value = this.objects.get(key);
        if (value === undefined) return { kind: "absent", key };
        return { kind: "found", object: { key, value, version: 1 } };
      }
      case "put": {
        const { key, value } = request;
        if (this.objects.has(key)) return { kind: "conflict", key, version: 1 };
        this.objects.set(key, value);
        return { kind: "stored", key, version: 1 };
      }
      case "list": {
        const keys = [...this.objects.keys()].sort()
          .filter((key) => key > (request.after ?? ""))
          .slice(0, request.limit)
          .map((key) => ({ key, version: 1 }));
        return { kind: "listed", keys };
      }
      default:
        return LOST;
    }
  }
}

const FIRST = buildRecord(1, {
  patch: buildPatch(EMPTY_CONFIGURATION, VALUE),
  full: VALUE,
});

function buildView(others: number): MembershipView {
  const nodes = Array.from({ length: others }, (_, index) => ({
    spec: {
      vmId: `vm-${index + 2}`,
      incarnation: 1,
      region: "lagos",
      failureDomain: "lagos-1",
      peerAddress: "10.0.0.1:7400",
      callerAddress: "10.0.0.1:8080",
      hasDisk: false,
    },
    state: "alive" as const,
    revision: 0,
  }));
  return { self: "vm-1", nodes };
}

describe("Configuration", () => {
  it("stores a change and returns the configuration by revision", () => {
    const node = new TestNode([FIRST]);
    node.change("r1", buildBudgetChange("designers"), 1);
    expect(node.findNotice("change_accepted")).to.deep.include({ revision: 2 });
    expect(node.role.value.budgets).to.have.length(1);
    expect(node.role.getValueAsOf(1)._unsafeUnwrap().budgets).to.have.length(0);
    const future = node.role.getValueAsOf(9)._unsafeUnwrapErr();
    expect(future.detail).to.contain("this node holds 1 to 2");
  });

  it("refuses a change to an item that another operator just changed", () => {
    const node = new TestNode([FIRST]);
    node.store(buildBudgetRecord(2, "designers"));
    node.change("r1", buildBudgetChange("designers"));
    expect(node.findNotice("change_refused")).to.have.nested.property(
      "failure.detail",
      "revision 2 is by obi of okonkwo: command 2",
    );
    expect(node.objects.size).to.equal(2);
  });

  it("stores a change after another one to a different item", () => {
    const node = new TestNode([FIRST]);
    node.store(buildBudgetRecord(2, "moulders"));
    node.change("r1", buildBudgetChange("designers"));
    expect(node.findNotice("change_accepted")).to.deep.include({ revision: 3 });
  });

  it("refuses a change that requires another revision", () => {
    const node = new TestNode([FIRST]);
    node.store(buildBudgetRecord(2, "moulders"));
    node.change("r1", buildBudgetChange("designers"), 1);
    expect(node.findNotice("change_refused")).to.have.nested.property(
      "failure.name",
      "RevisionMismatch",
    );
  });

  it("writes again while a lost write may still arrive", () => {
    const node = new TestNode([FIRST]);
    let lostWrite: PlatformRequest | undefined;
    node.intercept = (request) => {
      if (request.kind !== "put" || lostWrite !== undefined) return undefined;
      lostWrite = request;
      return LOST;
    };
    node.change("r1", buildBudgetChange("designers"));
    expect(node.listKinds()).to.deep.equal([]);
    node.runTo(1_000);
    expect(node.listKinds()[0]).to.equal("change_accepted");
    expect(node.objects.size).to.equal(2);
  });

  it("never reports a stored change as refused", () => {
    const node = new TestNode([FIRST]);
    let stored = false;
    node.intercept = (request) => {
      if (request.kind === "put") stored = true;
      else if (stored) return LOST;
      return undefined;
    };
    node.change("r1", buildBudgetChange("designers"));
    node.runTo(20_000);
    expect(node.listKinds()).to.deep.equal(["change_uncertain"]);
    node.intercept = () => undefined;
    node.runTo(21_000);
    expect(node.listKinds()).to.include("change_accepted");
  });

  it("reports the platform as unavailable if nothing was written", () => {
    const node = new TestNode([FIRST]);
    node.intercept = () => ({ kind: "failed", reason: "refused" });
    node.change("r1", buildBudgetChange("designers"));
    node.runTo(16_000);
    expect(node.findNotice("change_refused")).to.have.nested.property(
      "failure.name",
      "PlatformUnavailable",
    );
  });

  it("doesn't report a change as accepted under a trimmed key", () => {
    const node = new TestNode([FIRST]);
    node.intercept = (request) => {
      if (request.kind !== "put") return undefined;
      // Meanwhile a hundred changes were stored and the oldest were trimmed.
      node.objects.clear();
      node.store(buildRecord(97, { full: VALUE }));
      node.store(buildRecord(98));
      return { kind: "stored", key: request.key, version: 1 };
    };
    node.change("r1", buildBudgetChange("designers"));
    expect(node.listKinds()).to.deep.equal(["change_uncertain"]);
    expect(node.role.value.budgets).to.have.length(0);
  });

  it("skips a long gap by loading a checkpoint", () => {
    const node = new TestNode([FIRST]);
    const stale = buildBudgetRecord(2, "designers");
    const after = { ...VALUE, policies: [{ name: "crest", value: "queue" }] };
    node.store(stale);
    node.store(buildRecord(97, { full: after }));
    node.store(buildRecord(98));
    node.runTo(6_000);
    expect(node.role.revision).to.equal(98);
    expect(node.role.value.budgets).to.have.length(0);
    expect(node.role.value.policies).to.have.length(1);
  });

  it("isn't ready on reports of a minority while the platform is down", () => {
    const node = new TestNode([]);
    node.intercept = () => ({ kind: "failed", reason: "refused" });
    const full = encodeRecord(buildRecord(5, { full: VALUE }));
    const offer = {
      kind: "configuration_offer" as const,
      revision: 5,
      value: full,
    };
    const sendOffers = (count: number, untilMs: number): void => {
      while (node.nowMs < untilMs) {
        for (let index = 0; index < count; index += 1) {
          const vmId = `vm-${index + 2}`;
          node.handle({ kind: "peer", from: vmId, message: offer });
        }
        node.runTo(node.nowMs + 250);
      }
    };
    sendOffers(2, 10_000);
    expect(node.role.isReady, "no membership view").to.equal(false);
    const view = buildView(8);
    node.handle({ kind: "members", view, isCutOff: false });
    sendOffers(2, 20_000);
    expect(node.role.isReady, "two of eight peers").to.equal(false);
    sendOffers(6, 22_000);
    expect(node.role.isReady, "a majority, but too briefly").to.equal(false);
    sendOffers(6, 25_000);
    expect(node.role.isReady, "a majority for three seconds").to.equal(true);
  });
});

describe("RevisionHistory", () => {
  it("never reverts to an older revision", () => {
    const history = new RevisionHistory(100);
    history.apply(buildRecord(40, { full: VALUE }));
    const older = buildRecord(33, { full: EMPTY_CONFIGURATION });
    expect(history.apply(older)).to.equal("known");
    expect(history.revision).to.equal(40);
    expect(history.value).to.equal(VALUE);
    expect(history.apply(buildRecord(42))).to.equal("gap");
  });
});
