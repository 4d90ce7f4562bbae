import { expect } from "chai";
import type { TenantEntry } from "../model/tenant.ts";
import {
  KeyAuthority,
  type KeyQuestion,
  REVOCATION_MARGIN_MS,
} from "./key_authority.ts";
import { findPriority } from "./request_priority.ts";
import { TenantDirectory } from "./tenant_directory.ts";

const REVOCATION_MS = 5_000;
const RENEWAL_MS = 1_250;
const LAPSE_MS = REVOCATION_MS - REVOCATION_MARGIN_MS;

function buildEntry(
  name: string,
  keys: readonly string[],
  priority?: number,
): TenantEntry {
  return { name, keys, priority, quota: undefined };
}

const DIRECTORY = new TenantDirectory([
  buildEntry("first", ["k1", "shared"]),
  buildEntry("second", ["k2", "shared"], 0),
]);

describe("tenant directory", () => {
  it("gives a key of two tenants to the first, and counts it", () => {
    expect(DIRECTORY.find("shared")?.name).to.equal("first");
    expect(DIRECTORY.find("k2")?.name).to.equal("second");
    expect(DIRECTORY.find("k3")).to.equal(undefined);
    expect(DIRECTORY.find("constructor")).to.equal(undefined);
    expect(DIRECTORY.repeatedKeys).to.equal(1);
  });

  // A tenant's entry goes into log lines, its keys mustn't.
  it("gives out tenants without their keys", () => {
    expect(JSON.stringify(DIRECTORY.find("k1"))).not.to.include("k1");
  });

  // The design size. A list that is searched would take seconds here.
  it("holds 100,000 keys of 10,000 tenants", () => {
    const entries = Array.from({ length: 10_000 }, (_, tenant) =>
      buildEntry(
        `tenant-${tenant}`,
        Array.from({ length: 10 }, (_, key) => `key-${tenant}-${key}`),
      ));
    const startedAtMs = performance.now();
    const directory = new TenantDirectory(entries);
    for (let at = 0; at < 100_000; at += 1) {
      directory.find(`key-${at % 10_000}-${at % 10}`);
    }
    expect(performance.now() - startedAtMs).to.be.below(2_000);
    expect(directory.size).to.equal(100_000);
    expect(directory.find("key-9999-9")?.name).to.equal("tenant-9999");
  });
});

describe("key authority", () => {
  const strict = new KeyAuthority({
    revocationMs: REVOCATION_MS,
    renewalMs: RENEWAL_MS,
  });
  const lenient = new KeyAuthority({
    revocationMs: undefined,
    renewalMs: RENEWAL_MS,
  });

  function check(authority: KeyAuthority, change: Partial<KeyQuestion>) {
    const decision = authority.check({
      directory: DIRECTORY,
      key: "k1",
      isPublic: false,
      ageMs: 0,
      ...change,
    });
    switch (decision.kind) {
      case "admitted":
        return decision.tenant?.name ?? "nobody";
      case "unknown_key":
        return decision.kind;
      case "unconfirmed":
        return decision.reason;
    }
  }

  it("accepts a key until shortly before its removal must have effect", () => {
    expect(check(strict, { ageMs: LAPSE_MS - 1 })).to.equal("first");
    expect(check(strict, { ageMs: LAPSE_MS })).to.equal("authority_lapsed");
    expect(check(strict, { ageMs: Number.POSITIVE_INFINITY }))
      .to.equal("authority_lapsed");
  });

  it("accepts a key whatever the age where nothing else is asked", () => {
    expect(check(lenient, { ageMs: 1e9 })).to.equal("first");
    expect(check(lenient, { ageMs: Number.POSITIVE_INFINITY }))
      .to.equal("first");
    expect(lenient.hasLapsed(Number.POSITIVE_INFINITY)).to.equal(false);
  });

  // A copy that lacks a new key mustn't answer 401, which callers take as final.
  it("calls a key unknown only by a recent copy", () => {
    for (const key of ["k3", undefined]) {
      expect(check(strict, { key })).to.equal("unknown_key");
      expect(check(strict, { key, ageMs: RENEWAL_MS - 1 }))
        .to.equal("unknown_key");
      expect(check(strict, { key, ageMs: RENEWAL_MS }))
        .to.equal("copy_too_old");
      expect(check(lenient, { key, ageMs: RENEWAL_MS }))
        .to.equal("copy_too_old");
      expect(check(strict, { key, ageMs: LAPSE_MS }))
        .to.equal("authority_lapsed");
    }
  });

  it("admits all on a public route, and names only a confirmed tenant", () => {
    const isPublic = true;
    expect(check(strict, { isPublic })).to.equal("first");
    expect(check(strict, { isPublic, key: "k3" })).to.equal("nobody");
    expect(check(strict, { isPublic, key: undefined })).to.equal("nobody");
    expect(check(strict, { isPublic, ageMs: LAPSE_MS })).to.equal("nobody");
  });

  it("asks for no key without tenants, but for one with an empty list", () => {
    const ageMs = Number.POSITIVE_INFINITY;
    expect(check(strict, { directory: undefined, ageMs })).to.equal("nobody");
    expect(check(strict, { directory: new TenantDirectory([]) }))
      .to.equal("unknown_key");
  });

  it("accepts nothing if the time is shorter than its margin", () => {
    const authority = new KeyAuthority({
      revocationMs: REVOCATION_MARGIN_MS / 2,
      renewalMs: RENEWAL_MS,
    });
    expect(check(authority, { ageMs: 0 })).to.equal("authority_lapsed");
  });
});

describe("the priority of a request", () => {
  it("is its tenant's, also if that's 0, else its route's", () => {
    const route = { priority: 3 };
    expect(findPriority({ route, tenant: undefined })).to.equal(3);
    expect(findPriority({ route, tenant: { priority: undefined } }))
      .to.equal(3);
    expect(findPriority({ route, tenant: { priority: 0 } })).to.equal(0);
  });
});
