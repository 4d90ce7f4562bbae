import { expect } from "chai";
import type { EventDefinition } from "@camphorlock/codes/events";
import { TenantDirectory } from "./tenant_directory.ts";
import { TenantKeys } from "./tenant_keys.ts";

const REQUEST = { key: "k1", isPublic: false };

function buildDirectory(...keys: readonly string[]): TenantDirectory {
  return new TenantDirectory([
    { name: "t", keys, priority: undefined, quota: undefined },
  ]);
}

describe("the checks of keys", () => {
  let directory: TenantDirectory | undefined;
  let ageMs: number;
  let counted: string[];
  let logged: unknown[];
  let keys: TenantKeys;

  beforeEach(() => {
    directory = buildDirectory("k1");
    ageMs = 0;
    counted = [];
    logged = [];
    keys = new TenantKeys({
      bounds: { revocationMs: 5_000, renewalMs: 1_250 },
      log: {
        write: (event: EventDefinition, fields: object) => {
          logged.push({ name: event.name, ...fields });
        },
      },
      metrics: { add: (name) => counted.push(name) },
      getDirectory: () => directory,
      getAgeMs: () => ageMs,
    });
  });

  // The body of a request may arrive minutes after its head, and a request may
  // wait for a target: what's sent then mustn't pass by the former check.
  it("are repeated before a request is sent", () => {
    const admission = keys.check(REQUEST)._unsafeUnwrap();
    expect(admission.confirm()).to.equal(undefined);
    ageMs = 4_900;
    expect(admission.confirm()?.code).to.equal("KeysUnconfirmed");
    ageMs = 0;
    directory = buildDirectory("k2");
    expect(admission.confirm()?.code).to.equal("KeyUnknown");
    directory = undefined;
    expect(admission.confirm()).to.equal(undefined);
    expect(counted)
      .to.deep.equal(["keys_accepted", "keys_unconfirmed", "keys_unknown"]);
  });

  // The client couldn't know that a key would be asked for.
  it("don't ask a key of a request from before there were tenants", () => {
    directory = undefined;
    const admission = keys.check({ key: undefined, isPublic: false })
      ._unsafeUnwrap();
    expect(admission).to.include({ hasTenants: false, tenant: undefined });
    directory = buildDirectory("k1");
    expect(admission.confirm()).to.equal(undefined);
  });

  it("say when to return only if a retry may succeed", () => {
    const unknown = keys.check({ key: "k2", isPublic: false });
    expect(unknown._unsafeUnwrapErr()).to.include({
      code: "KeyUnknown",
      retryAfterMs: undefined,
    });
    ageMs = 5_000;
    const lapsed = keys.check(REQUEST)._unsafeUnwrapErr();
    expect(lapsed.code).to.equal("KeysUnconfirmed");
    expect(lapsed.retryAfterMs).to.be.above(0);
    expect(JSON.stringify([unknown, lapsed])).not.to.match(/k[12]/);
  });

  it("log once that the authority lapsed, and once that it's back", () => {
    for (const age of [0, 4_900, 4_950, 10, 20]) {
      ageMs = age;
      keys.reportChange();
    }
    expect(logged).to.deep.equal([
      {
        name: "KeyAuthorityChanged",
        has_lapsed: true,
        configuration_age_ms: 4_900,
      },
      {
        name: "KeyAuthorityChanged",
        has_lapsed: false,
        configuration_age_ms: 10,
      },
    ]);
    directory = undefined;
    ageMs = 10_000;
    expect(keys.hasLapsed).to.equal(false);
  });
});
