import { expect } from "chai";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import { FIXTURE_STORE_CODEC } from "../codec_fixture_test.ts";
import { TargetTable } from "../decisions/target_table.ts";
import { buildConfiguration } from "../gateway_fixture_test.ts";
import { GatewayLog } from "../log.ts";
import { WatchedConfiguration } from "./watched_state.ts";

const ORIGIN = { source: "store", ageMs: 0, wasUnreachable: false };

function buildTenants(...keys: readonly string[]) {
  return [{ name: "t", keys, priority: undefined, quota: undefined }];
}

describe("the keys of a watched configuration", () => {
  let configuration: WatchedConfiguration;
  let lines: string[];
  let log: GatewayLog;
  let ageMs: number;
  let revision: number;

  beforeEach(() => {
    lines = [];
    ageMs = 0;
    revision = 1;
    log = new GatewayLog({
      write: (text, done) => {
        lines.push(text);
        done();
      },
    }, "test");
    configuration = new WatchedConfiguration({
      codec: FIXTURE_STORE_CODEC,
      log,
      targets: new TargetTable(),
      onConfiguration: () => {},
      onTargetRemoved: () => {},
      getAgeMs: () => ageMs,
    });
    put({ ...buildConfiguration(1), tenants: buildTenants("a", "b") });
  });

  function put(value: unknown): void {
    revision += 1;
    const object = { name: "main", revision, value, status: null };
    configuration.applyChange({ object, isRemoved: false }, ORIGIN);
  }

  function listAccepted(): string[] {
    return ["a", "b", "c"].filter((key) =>
      configuration.inForce?.tenants?.find(key) !== undefined
    );
  }

  it("follow its changes", () => {
    expect(listAccepted()).to.deep.equal(["a", "b"]);
    put({ ...buildConfiguration(2), tenants: buildTenants("b", "c") });
    expect(listAccepted()).to.deep.equal(["b", "c"]);
    put(buildConfiguration(3));
    expect(configuration.inForce?.tenants).to.equal(undefined);
  });

  // The former configuration stayed in force as a whole, with the removed key.
  it("are removed also by a configuration whose routes can't be used", () => {
    put({ version: 2, tenants: buildTenants("b") });
    expect(listAccepted()).to.deep.equal(["b"]);
    expect(configuration.inForce?.configuration.version).to.equal(1);
    expect(configuration.inForce?.routes.find("a.example", "/safe/1"))
      .not.to.equal(undefined);
  });

  // An operator who restores an older version may mean to remove keys by that.
  it("are removed also by a configuration of an older version", () => {
    put({ ...buildConfiguration(5), tenants: buildTenants("a", "b") });
    put({ ...buildConfiguration(4), tenants: buildTenants("b") });
    expect(listAccepted()).to.deep.equal(["b"]);
    expect(configuration.inForce?.configuration.version).to.equal(5);
  });

  // The store confirms a copy that includes nothing of the keys in force.
  it("age while the latest configuration can't be read at all", () => {
    const time = new VirtualTime();
    try {
      ageMs = 300;
      put("unreadable");
      ageMs = 0;
      time.advance(1_000);
      put("unreadable");
      expect(listAccepted()).to.deep.equal(["a", "b"]);
      expect(configuration.computeKeysAgeMs()).to.equal(1_300);
      time.suspend(4_000);
      expect(configuration.computeKeysAgeMs()).to.equal(5_300);
      put({ ...buildConfiguration(2), tenants: buildTenants("b") });
      expect(configuration.computeKeysAgeMs()).to.equal(0);
    } finally {
      time.restore();
    }
  });

  it("that were left out are reported without a key", () => {
    put({
      ...buildConfiguration(2),
      tenants: [...buildTenants("secret"), ...buildTenants("secret", "c")],
      problems: ["tenants.2.name: missing or unusable"],
    });
    log.flush();
    const reported = lines.join("").split("\n")
      .filter((line) => line.includes("TenantsUnusable"));
    expect(reported).to.have.length(1);
    expect(reported[0]).to.match(/tenants\.2\.name.*1 keys are listed again/);
    expect(lines.join("")).not.to.include("secret");
    expect(listAccepted()).to.deep.equal(["c"]);
  });
});
