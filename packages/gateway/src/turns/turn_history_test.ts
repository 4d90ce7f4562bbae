import { expect } from "chai";
import type { KeptTurn, TurnChain } from "@camphorlock/turns";
import { ByteBudget } from "../decisions/byte_budget.ts";
import type { AcceptedRequest } from "../exchange/request_end.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { type HistoryOpening, TurnHistory } from "./turn_history.ts";

const CHAIN_BYTES = 1_000_000;

// Chains and outputs of kept turns were held beside the budget for exchanges, so
// that small requests took any amount of memory.
describe("what the turns of conversations hold", () => {
  let budget: ByteBudget;
  let history: TurnHistory;
  let saved: TurnChain[];

  beforeEach(() => {
    budget = new ByteBudget(4 * CHAIN_BYTES);
    saved = [];
    const chain: TurnChain = [{
      id: "first",
      parentId: undefined,
      input: Buffer.alloc(CHAIN_BYTES, 97),
      output: Buffer.from("x"),
      targetId: "t1",
      retentionMs: 1_000,
      endedAtMs: 0,
    } as KeptTurn];
    history = new TurnHistory({
      client: {
        canSave: true,
        load: () => Promise.resolve({ kind: "found", chain }),
        save: (kept: TurnChain) => {
          saved.push(kept);
          return Promise.resolve(true);
        },
      } as never,
      log: new GatewayLog({ write: (_text, done) => done() }, "g1"),
      metrics: new GatewayMetrics(),
    });
  });

  function accept(id: string): AcceptedRequest {
    return {
      caller: { share: budget.open() },
      fields: { requestId: id, previousTurnId: "first", resumeAfter: 0 },
      route: { retentionMs: 1_000 },
      body: Buffer.from("next"),
      receivedAtMs: 0,
      limitMs: 1_000,
      maxBodyBytes: 4_000_000,
    } as unknown as AcceptedRequest;
  }

  async function open(accepted: AcceptedRequest) {
    const opening = await history.open(accepted);
    if (opening.kind !== "opened") throw new Error(opening.code);
    return opening.turn;
  }

  it("comes out of the budget for exchanges; beyond it they're refused", async () => {
    const openings: HistoryOpening[] = [];
    const accepted = Array.from({ length: 10 }, (_, at) => accept(`r${at}`));
    for (const each of accepted) openings.push(await history.open(each));
    const refused = openings.filter(({ kind }) => kind === "refused");
    expect(openings.length - refused.length).to.be.within(1, 4);
    for (const opening of refused) {
      expect(opening).to.include({ code: "GatewayMemoryFull" });
    }
    for (const { caller } of accepted) caller.share.close();
    expect(budget.usedBytes).to.equal(0);
    expect((await history.open(accept("later"))).kind).to.equal("opened");
  });

  it("includes their output, without which a turn isn't kept", async () => {
    const turn = await open(accept("r1"));
    const usedBytes = budget.usedBytes;
    turn.addEvent(Buffer.alloc(100_000, 97));
    expect(budget.usedBytes - usedBytes).to.be.at.least(100_000);
    expect(await turn.save("t1", 1_000)).to.equal(true);
    expect(saved[0]?.at(-1)?.output.length).to.equal(100_001);

    const large = await open(accept("r2"));
    for (let at = 0; at < 50; at += 1) {
      large.addEvent(Buffer.alloc(100_000, 97));
    }
    expect(budget.usedBytes).to.be.at.most(4 * CHAIN_BYTES);
    expect(await large.save("t1", 1_000)).to.equal(false);
    expect(saved).to.have.length(1);
  });
});
