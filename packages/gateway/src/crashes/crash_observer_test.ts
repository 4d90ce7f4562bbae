import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { openDirectly } from "@camphorlock/http/exchange";
import { expect } from "chai";
import { GatewayLog } from "../log.ts";
import {
  computeFingerprint,
  type Fingerprint,
} from "../model/request_fingerprint.ts";
import type { Target } from "../model/target.ts";
import { CrashObserver, type TargetEnd } from "./crash_observer.ts";

const OUTPUT = { write: (_text: string, end: () => void) => end() };

function buildTarget(port: number): Target {
  return {
    id: "t1",
    service: "s",
    host: "127.0.0.1",
    port,
    failureDomain: "a",
    state: "ready",
    version: "v1",
    slots: 4,
    startedAtMs: 1,
  };
}

function buildFingerprint(request: string): Fingerprint {
  return { request, resource: "resource" };
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) =>
    server.listen(
      0,
      "127.0.0.1",
      () => resolve((server.address() as AddressInfo).port),
    )
  );
}

describe("the end of a target", () => {
  let ends: TargetEnd[];
  let leaving: boolean;
  let observer: CrashObserver;
  let isConfirmed: boolean;

  beforeEach(() => {
    ends = [];
    isConfirmed = true;
    leaving = false;
    observer = new CrashObserver({
      log: new GatewayLog(OUTPUT, "g1"),
      openSocket: openDirectly,
      confirmRefusal: () => Promise.resolve(isConfirmed),
      isLeaving: () => leaving,
      onEnd: (end) => ends.push(end),
    });
  });

  it("is told from a broken connection", async () => {
    const server = createServer();
    const target = buildTarget(await listen(server));
    observer.recordStart(target, "r1", buildFingerprint("f1"));
    expect(await observer.recordBreak(target, "r1")).to.equal(false);
    expect(ends).to.have.length(0);
    server.close();
  });

  it("is reported once, with all that ran there", async () => {
    const server = createServer();
    const target = buildTarget(await listen(server));
    await new Promise((resolve) => server.close(resolve));
    observer.recordStart(target, "r0", buildFingerprint("f0"));
    observer.recordEnd(target, "r0");
    observer.recordStart(target, "r1", buildFingerprint("f1"));
    observer.recordStart(target, "r2", buildFingerprint("f2"));
    observer.recordStart(target, "r3", buildFingerprint("f2"));
    const results = await Promise.all([
      observer.recordBreak(target, "r1"),
      observer.recordBreak(target, "r2"),
    ]);
    expect(results).to.deep.equal([true, true]);
    expect(ends).to.have.length(1);
    expect(ends[0]?.requests.map(({ request }) => request))
      .to.have.members(["f1", "f2"]);
  });

  // A gateway that had lost its links took each refused connection for the end
  // of a target, and all gateways doubted sound targets.
  it("needs another gateway that is refused, too", async () => {
    const server = createServer();
    const target = buildTarget(await listen(server));
    await new Promise((resolve) => server.close(resolve));
    isConfirmed = false;
    observer.recordStart(target, "r1", buildFingerprint("f1"));
    expect(await observer.recordBreak(target, "r1")).to.equal(false);
    expect(ends).to.have.length(0);
  });

  it("is nobody's fault when the target leaves as planned", async () => {
    const server = createServer();
    const target = buildTarget(await listen(server));
    await new Promise((resolve) => server.close(resolve));
    leaving = true;
    observer.recordStart(target, "r1", buildFingerprint("f1"));
    expect(await observer.recordBreak(target, "r1")).to.equal(false);
    expect(ends).to.have.length(0);
  });
});

describe("the fingerprint of a request", () => {
  const parts = {
    method: "POST",
    host: "a.example",
    url: "/x/1",
    body: Buffer.from("body"),
  };

  it("is the same for each attempt and differs with each part", () => {
    const { request, resource } = computeFingerprint(parts);
    expect(computeFingerprint({ ...parts, host: "A.example" }))
      .to.deep.equal({ request, resource });
    const others = [
      { ...parts, method: "GET" },
      { ...parts, host: "b.example" },
      { ...parts, url: "/x/2" },
      { ...parts, body: Buffer.from("bodies") },
      { ...parts, body: Buffer.from("") },
    ].map((each) => computeFingerprint(each));
    const requests = others.map((each) => each.request);
    expect(new Set([request, resource, ...requests]).size).to.equal(7);
    const resources = others.map((each) => each.resource);
    expect(new Set([resource, ...resources]).size).to.equal(4);
  });
});
