import { expect } from "chai";
import type { Route, RoutingConfiguration } from "../model/routing.ts";
import type { Target } from "../model/target.ts";
import { chooseService } from "./choose_service.ts";
import { chooseTarget } from "../placement/choose_target.ts";
import { PeerDirectory } from "./peer_directory.ts";
import { type AttemptHistory, planNextStep } from "./next_step.ts";
import { RouteTable } from "./route_table.ts";
import { recordFailure, TargetTable } from "./target_table.ts";
import { buildPeer } from "../peer_fixture_test.ts";

function buildRoute(change: Partial<Route>): Route {
  return {
    name: "r",
    host: "a.example",
    pathPrefix: "/x/",
    kind: "idempotent",
    isResumable: false,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 0,
    isPublic: false,
    retentionMs: undefined,
    maxTargets: 1,
    services: [{ service: "s", weight: 1 }],
    ...change,
  };
}

function buildTarget(change: Partial<Target>): Target {
  return {
    id: "i-1",
    service: "s",
    host: "127.0.0.1",
    port: 1,
    failureDomain: "a",
    state: "ready",
    version: "v1",
    slots: 4,
    startedAtMs: 1,
    ...change,
  };
}

describe("route table", () => {
  const configuration: RoutingConfiguration = {
    version: 1,
    routes: [
      buildRoute({ name: "short", pathPrefix: "/x/" }),
      buildRoute({ name: "long", pathPrefix: "/x/y/" }),
    ],
    services: new Map(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    tenants: undefined,
  };
  const table = new RouteTable(configuration);

  it("finds the route of the host with the longest matching prefix", () => {
    expect(table.find("a.example", "/x/y/z")?.name).to.equal("long");
    expect(table.find("A.example:80", "/x/z?q=/x/y/")?.name).to.equal("short");
  });

  it("finds nothing for other hosts and paths", () => {
    expect(table.find("b.example", "/x/y")).to.equal(undefined);
    expect(table.find("a.example", "/xy/")).to.equal(undefined);
  });
});

describe("split routes", () => {
  it("distribute keys by weight and map a key to the same service", () => {
    const route = buildRoute({
      services: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
    });
    const chosen = Array.from(
      { length: 1_000 },
      (_, index) => chooseService(route, `program-${index}`),
    );
    const share = chosen.filter((service) => service === "t").length / 1_000;
    expect(share).to.be.within(0.06, 0.14);
    expect(chooseService(route, "program-1")).to.equal(chosen[1]);
  });
});

describe("target table", () => {
  it("keeps a lapsed entry until its grace period ends", () => {
    const table = new TargetTable();
    table.set(buildTarget({}));
    table.remove("i-1", 2_000);
    expect(table.listReady("s", 1_000)).to.have.length(1);
    expect(table.listReady("s", 2_000)).to.have.length(0);
    expect(table.removeExpired(2_000)).to.have.length(1);
  });

  it("restores a lapsed entry that is written again", () => {
    const table = new TargetTable();
    table.set(buildTarget({}));
    table.remove("i-1", 2_000);
    table.set(buildTarget({}));
    expect(table.listReady("s", 3_000)).to.have.length(1);
  });

  it("discards its observations of an earlier incarnation", () => {
    const table = new TargetTable();
    table.set(buildTarget({}));
    const tracked = table.find("i-1");
    if (tracked === undefined) throw new Error("target i-1 isn't in the table");
    tracked.prefixes.record([{ id: "p", tokens: 10 }]);
    recordFailure(tracked, 0);
    table.set(buildTarget({ startedAtMs: 2 }));
    expect(table.find("i-1")?.consecutiveFailures).to.equal(0);
    expect(table.find("i-1")?.prefixes.countUncached([{ id: "p", tokens: 10 }]))
      .to.equal(10);
  });

  it("doesn't list a draining target as ready", () => {
    const table = new TargetTable();
    table.set(buildTarget({ state: "draining" }));
    expect(table.listReady("s", 0)).to.have.length(0);
  });
});

describe("choice of a target", () => {
  const request = {
    prompt: [{ id: "shared", tokens: 12_000 }],
    vmId: "g",
    failureDomain: "a",
    regions: new Map([["a", "north"], ["b", "south"]]),
    excluded: new Set<string>(),
    nowMs: 0,
  };

  it("prefers a cached prompt over a nearer target if that saves time", () => {
    const table = new TargetTable();
    table.set(buildTarget({ id: "near" }));
    table.set(buildTarget({ id: "far", failureDomain: "b" }));
    const prompt = [{ id: "shared", tokens: 20_000 }];
    table.find("far")?.prefixes.record(prompt);
    const ready = table.listReady("s", 0);
    expect(chooseTarget(ready, { ...request, prompt })?.target.id)
      .to.equal("far");
    expect(chooseTarget(ready, { ...request, prompt: [] })?.target.id)
      .to.equal("near");
  });

  it("avoids a failing target until its back-off ends", () => {
    const table = new TargetTable();
    table.set(buildTarget({ id: "bad" }));
    table.set(buildTarget({ id: "good", failureDomain: "b" }));
    const failing = table.find("bad");
    if (failing !== undefined) recordFailure(failing, 0);
    const ready = table.listReady("s", 0);
    expect(chooseTarget(ready, request)?.target.id).to.equal("good");
    expect(chooseTarget(ready, { ...request, nowMs: 250 })?.target.id)
      .to.equal("bad");
  });

  it("chooses an avoided target if there's no other", () => {
    const table = new TargetTable();
    table.set(buildTarget({ id: "bad" }));
    const failing = table.find("bad");
    if (failing !== undefined) recordFailure(failing, 0);
    expect(chooseTarget(table.listReady("s", 0), request)?.target.id)
      .to.equal("bad");
  });
});

describe("next step after a failed attempt", () => {
  const history: AttemptHistory = {
    isRepeatable: false,
    maxTargets: 1,
    sends: 1,
    liveRunners: 0,
    crashes: 0,
    mayHaveRun: false,
    leftMs: 500,
  };

  it("never retries a non-repeatable request that may have run", () => {
    const broken = { kind: "broken", detail: "reset" } as const;
    const next = planNextStep(broken, { ...history, mayHaveRun: true });
    expect(next).to.deep.equal({ kind: "fail" });
  });

  it("retries at any target if the request wasn't run", () => {
    const notRun = { kind: "not_run", detail: "status 503" } as const;
    expect(planNextStep(notRun, history))
      .to.deep.equal({ kind: "send", to: "any" });
  });

  it("retries at a live target that may have run the request", () => {
    const broken = { kind: "broken", detail: "reset" } as const;
    const repeatable = { ...history, isRepeatable: true, mayHaveRun: true };
    expect(planNextStep(broken, { ...repeatable, liveRunners: 1 }))
      .to.deep.equal({ kind: "send", to: "runners" });
    expect(planNextStep(broken, repeatable))
      .to.deep.equal({ kind: "send", to: "any" });
  });

  it("reports a request as not run only if no attempt may have run", () => {
    const notRun = { kind: "not_run", detail: "status 503" } as const;
    const expired = { ...history, leftMs: 0 };
    expect(planNextStep(notRun, expired)).to.deep.equal({ kind: "refuse" });
    expect(planNextStep(notRun, { ...expired, mayHaveRun: true }))
      .to.deep.equal({ kind: "fail" });
  });
});

describe("peer directory", () => {
  const directory = new PeerDirectory(buildPeer("a"));
  for (const vmId of ["b", "c", "d"]) directory.add(buildPeer(vmId));
  directory.add(buildPeer("e", { region: "south" }));

  it("ranks the homes of a program in the same order at every gateway", () => {
    const other = new PeerDirectory(buildPeer("c"));
    for (const vmId of ["a", "b", "d"]) other.add(buildPeer(vmId));
    for (const program of ["p", "q", "r", "s"]) {
      expect(directory.chooseHomes(program).map(({ vmId }) => vmId))
        .to.deep.equal(other.chooseHomes(program).map(({ vmId }) => vmId));
    }
  });

  it("makes the second home the first if the first fails", () => {
    const [first, second] = directory.chooseHomes("p");
    const southern = new PeerDirectory(buildPeer("z", { region: "south" }));
    expect(southern.chooseHomes("p").map(({ vmId }) => vmId))
      .to.deep.equal(["z"]);
    if (first === undefined || second === undefined) throw new Error("no home");
    directory.recordUnresponsive(first.vmId);
    const isSelf = first.vmId === "a";
    expect(directory.chooseHomes("p")[isSelf ? 1 : 0]?.vmId)
      .to.equal(second.vmId);
    directory.set(first);
    expect(directory.chooseHomes("p")[0]?.vmId).to.equal(first.vmId);
  });

  it("distinguishes a restart from a return", () => {
    expect(directory.set(buildPeer("b"))).to.equal("none");
    directory.recordUnresponsive("b");
    expect(directory.set(buildPeer("b"))).to.equal("returned");
    expect(directory.set(buildPeer("b", { bootId: "2" })))
      .to.equal("restarted");
  });
});
