/**
 * An in-memory object API with conditional updates, for the ledger's tests.
 */
import { expect } from "chai";
import type {
  PlatformObject,
  PlatformRequest,
  PlatformResponse,
  WriteCondition,
} from "@camphorlock/types";

/** Objects with versions; requests take effect at once. */
export class FakePlatform {
  readonly objects = new Map<string, PlatformObject>();
  #version = 0;

  /** Applies a request and returns the response. */
  handle(request: PlatformRequest): PlatformResponse {
    switch (request.kind) {
      case "get": {
        const object = this.objects.get(request.key);
        return object === undefined
          ? { kind: "absent", key: request.key }
          : { kind: "found", object };
      }
      case "put":
        return this.#put(request.key, request.value, request.condition);
      case "delete":
        this.objects.delete(request.key);
        return { kind: "deleted", key: request.key };
      case "list":
        return { kind: "listed", keys: this.#list(request) };
      case "watch":
        return { kind: "failed", reason: "refused" };
    }
  }

  #put(
    key: string,
    value: Uint8Array,
    condition: WriteCondition,
  ): PlatformResponse {
    const version = this.objects.get(key)?.version ?? 0;
    const expected = condition.kind === "version" ? condition.version : 0;
    if (condition.kind !== "any" && version !== expected) {
      return { kind: "conflict", key, version };
    }
    this.#version += 1;
    this.objects.set(key, { key, value, version: this.#version });
    return { kind: "stored", key, version: this.#version };
  }

  #list(
    request: Extract<PlatformRequest, { kind: "list" }>,
  ): PlatformObject[] {
    return [...this.objects.values()]
      .filter(({ key }) => key.startsWith(request.prefix))
      .filter(({ key }) => key > (request.after ?? ""))
      .sort((left, right) => left.key < right.key ? -1 : 1)
      .slice(0, request.limit);
  }
}

describe("the fake platform", () => {
  it("checks the condition of a write", () => {
    const platform = new FakePlatform();
    const value = new Uint8Array(1);
    const put = { kind: "put", key: "a", value } as const;
    const create = { ...put, condition: { kind: "absent" } } as const;
    expect(platform.handle(create).kind).to.equal("stored");
    expect(platform.handle(create).kind).to.equal("conflict");
    const update = {
      ...put,
      condition: { kind: "version", version: 1 },
    } as const;
    expect(platform.handle(update).kind).to.equal("stored");
    expect(platform.handle(update).kind).to.equal("conflict");
  });
});
