import { expect } from "chai";
import { EndedTargets } from "../decisions/ended_targets.ts";
import { openDirectly } from "@camphorlock/http/exchange";
import { getIncarnation } from "../decisions/target_table.ts";
import { TargetConnections } from "../exchange/target_connections.ts";
import { IDENTITY_PATH } from "../codec_fixture_test.ts";
import { FakeTarget } from "../gateway_fixture_test.ts";
import { GatewayLog } from "../log.ts";
import type { Target } from "../model/target.ts";
import { TargetVerifier } from "./target_verifier.ts";

const RENEWAL_MS = 1_000;

describe("what a target's entry states of its version", () => {
  let fake: FakeTarget;
  let target: Target;
  let ended: EndedTargets;
  let viewAgeMs: number;
  let connections: TargetConnections;
  let verifier: TargetVerifier;

  beforeEach(async () => {
    fake = new FakeTarget("t1");
    target = await fake.start();
    ended = new EndedTargets();
    viewAgeMs = 100;
    connections = new TargetConnections(openDirectly);
    verifier = new TargetVerifier({
      connections,
      codec: {
        identityPath: IDENTITY_PATH,
        decodeIdentity: (body) =>
          Number(/^started (\d+)$/.exec(body.toString())?.[1]) || undefined,
      },
      ended,
      log: new GatewayLog({ write: (_text, end) => end() }, "vm"),
      getViewAgeMs: () => viewAgeMs,
      renewalMs: RENEWAL_MS,
    });
  });

  afterEach(async () => {
    await connections.close();
    fake.stop();
  });

  it("holds if the target states the same start, however old the view is", async () => {
    viewAgeMs = 60_000;
    ended.record(getIncarnation(target));
    expect(verifier.isTrusted(target)).to.equal(false);
    expect(await verifier.confirm(target)).to.equal(true);
    expect(ended.has(target)).to.equal(false);
  });

  it("doesn't hold if it states another one", async () => {
    fake.identity = "started 2";
    expect(verifier.isTrusted(target)).to.equal(true);
    expect(await verifier.confirm(target)).to.equal(false);
    expect(verifier.isTrusted(target)).to.equal(false);
  });

  // A gateway that was out of step for a few seconds went on with streams at
  // targets of another version.
  it("holds for one that can't be asked only while the view is recent", async () => {
    fake.identity = "nothing";
    expect(await verifier.confirm(target)).to.equal(true);
    viewAgeMs = RENEWAL_MS * 2;
    expect(await verifier.confirm(target)).to.equal(false);
    viewAgeMs = 100;
    ended.record(getIncarnation(target));
    expect(await verifier.confirm(target)).to.equal(false);
  });

  it("is asked once for many streams", async () => {
    let asked = 0;
    const get = connections.get.bind(connections);
    connections.get = (each) => {
      asked += 1;
      return get(each);
    };
    await Promise.all(
      Array.from({ length: 20 }, () => verifier.confirm(target)),
    );
    expect(asked).to.equal(1);
  });
});
