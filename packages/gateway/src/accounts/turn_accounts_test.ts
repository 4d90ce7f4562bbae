import { expect } from "chai";
import { ok } from "neverthrow";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { TokenAccounts } from "../decisions/token_accounts.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import type { PeerAnswer, PeerMessage } from "../peers/peer_messages.ts";
import type { ObjectStore } from "../ports.ts";
import { DistantAccounts } from "./distant_accounts.ts";
import { AccountHome } from "./account_home.ts";
import { TurnAccounts } from "./turn_accounts.ts";
import { buildPeer } from "../peer_fixture_test.ts";

const STORE = {
  create: () => Promise.resolve(ok({ revision: 1 })),
  update: () => Promise.resolve(ok({ revision: 1 })),
} as unknown as ObjectStore;
const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");

/** Gateways named by a capital are in the south. */
function getRegion(vmId: string): string {
  return vmId === vmId.toLowerCase() ? "north" : "south";
}

function buildInfo(vmId: string): PeerInfo {
  return buildPeer(vmId, { region: getRegion(vmId) });
}

/** Gateways that reach each other but for the pairs that are cut. */
class Group {
  readonly cut = new Set<string>();
  readonly members = new Map<string, ReturnType<Group["build"]>>();

  build(vmId: string, all: readonly string[]) {
    const accounts = new TokenAccounts();
    const directory = new PeerDirectory(buildInfo(vmId));
    for (const other of all) directory.add(buildInfo(other));
    const links = {
      call: (peer: PeerInfo, message: PeerMessage) =>
        this.#call(vmId, { peer, message }),
    };
    const distant = new DistantAccounts({
      directory,
      links,
      accounts,
      selfId: vmId,
    });
    const home = new AccountHome({
      accounts,
      distant,
      store: STORE,
      log: LOG,
      metrics: new GatewayMetrics(),
    });
    home.start();
    const turns = new TurnAccounts({
      directory,
      accounts,
      home,
      distant,
      selfId: vmId,
      links,
    });
    return { accounts, distant, home, directory, turns };
  }

  add(ids: readonly string[]): void {
    for (const id of ids) this.members.set(id, this.build(id, ids));
  }

  get(id: string) {
    const member = this.members.get(id);
    if (member === undefined) throw new Error(id);
    return member;
  }

  /** Carries a message and its answer, each with a delay. */
  async #call(
    from: string,
    sent: { peer: PeerInfo; message: PeerMessage },
  ): Promise<PeerAnswer | undefined> {
    await new Promise((resolve) => setTimeout(resolve, 1));
    const answer = await this.#answer(from, sent);
    await new Promise((resolve) => setTimeout(resolve, 1));
    return answer;
  }

  async #answer(
    from: string,
    { peer, message }: { peer: PeerInfo; message: PeerMessage },
  ): Promise<PeerAnswer | undefined> {
    const { accounts, distant, home } = this.get(peer.vmId);
    if (this.cut.has(`${from}-${peer.vmId}`)) {
      this.get(from).directory.recordSilent(peer.vmId);
      return undefined;
    }
    const answer = { from: buildInfo(peer.vmId) };
    switch (message.kind) {
      case "open_turn":
        return { ...answer, turn: await home.open(message.turn) };
      case "confirm_turn":
        return {
          ...answer,
          isConfirmed: accounts.confirm(message.turn, performance.now()),
        };
      case "close_turn":
        accounts.close(
          message.programId,
          message.turnId,
          message.passedTokens,
        );
        if (message.isDistant !== true) distant.close(message);
        return answer;
      case "merge_accounts":
        for (const state of message.accounts) accounts.merge(state, 0);
        return answer;
      case "find_account": {
        distant.addRegion(message.programId, getRegion(from));
        const account = accounts.find(message.programId);
        const mayHaveLost = false;
        return {
          ...answer,
          mayHaveLost,
          ...(account === undefined ? {} : { account }),
        };
      }
      default:
        return answer;
    }
  }
}

describe("turn accounts", () => {
  const ids = ["a", "b", "c", "d"];

  function buildTurn(turnId: string) {
    return { programId: "p", turnId, budgetTokens: 1_120, turnTokens: 560 };
  }

  it("admit no more than the budget while gateways disagree on the homes", async () => {
    const group = new Group();
    group.add(ids);
    const first = group.get("a").directory.chooseHomes("p")[0]?.vmId ?? "";
    const outside = ids.filter((id) => id !== first);
    // One gateway can't reach the first home; the others can.
    const cutOff = outside[0] ?? "";
    group.cut.add(`${cutOff}-${first}`);
    const answers = await Promise.all(
      Array.from({ length: 12 }, (_, index) => {
        const at = index % 2 === 0 ? cutOff : outside[1] ?? "";
        return group.get(at).turns.open(buildTurn(`t${index}`));
      }),
    );
    const admitted = answers.filter((answer) => answer === "admitted");
    expect(admitted.length).to.be.within(1, 2);
  });

  // Seed 1093214820439 of a day with cuts: callers reached both gateways.
  it("admit no more than the budget at homes that are cut off from each other", async () => {
    const group = new Group();
    group.add(ids);
    const budgetTokens = 5_600;
    const homes = group.get("a").directory.chooseHomes("p");
    const [first = "", second = ""] = homes.map(({ vmId }) => vmId);
    let tokens = 0;
    async function runTurn(at: string, turnId: string): Promise<void> {
      const turn = { ...buildTurn(turnId), budgetTokens };
      if (await group.get(at).turns.open(turn) !== "admitted") return;
      tokens += turn.turnTokens;
      group.get(at).turns.close(turn, turn.turnTokens);
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    for (let turn = 0; turn < 5; turn += 1) await runTurn(first, `t${turn}`);
    for (const id of ids) {
      for (const other of ids) group.cut.add(`${id}-${other}`);
    }
    for (let turn = 5; turn < 20; turn += 1) {
      await runTurn(first, `t${turn}`);
      await runTurn(second, `u${turn}`);
    }
    expect(tokens).to.be.at.most(budgetTokens + 560);
  });

  it("admit no more than the budget through two regions", async () => {
    const group = new Group();
    group.add([...ids, "E", "F"]);
    const answers = [];
    for (let index = 0; index < 10; index += 1) {
      const at = group.get(index % 2 === 0 ? "a" : "E");
      answers.push(await at.turns.open(buildTurn(`t${index}`)));
    }
    expect(answers.filter((answer) => answer === "admitted"))
      .to.have.length(2);
  });

  it("admit no more than the budget when two regions begin at once", async () => {
    const group = new Group();
    group.add([...ids, "E", "F"]);
    for (let program = 0; program < 20; program += 1) {
      const answers = await Promise.all(
        Array.from(
          { length: 12 },
          (_, index) =>
            group.get(index % 2 === 0 ? "a" : "E").turns.open({
              ...buildTurn(`t${index}`),
              programId: `p${program}`,
            }),
        ),
      );
      expect(answers.filter((answer) => answer === "admitted").length)
        .to.be.at.most(2);
    }
  });

  it("give back in both regions what a turn didn't use", async () => {
    const group = new Group();
    group.add([...ids, "E", "F"]);
    for (let index = 0; index < 10; index += 1) {
      const at = group.get(index % 2 === 0 ? "a" : "E");
      const turn = buildTurn(`t${index}`);
      expect(await at.turns.open(turn)).to.equal("admitted");
      at.turns.close(turn, 35);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  });

  it("admit only recorded tokens where another region may have lost accounts", async () => {
    const group = new Group();
    group.add([...ids, "E", "F"]);
    for (const id of ids) group.cut.add(`E-${id}`).add(`F-${id}`);
    const turn = { ...buildTurn("t"), budgetTokens: 5_600 };
    expect(await group.get("E").turns.open(turn)).to.equal("admitted");
    const home = group.get("E").directory.chooseHomes("p")[0]?.vmId ?? "";
    const account = group.get(home).accounts.find("p");
    expect(account?.isAssumed).to.equal(true);
    expect(account?.recordedTokens).to.be.greaterThan(0);
  });

  it("admit both turns of a budget that holds two", async () => {
    const group = new Group();
    group.add(ids);
    const answers = await Promise.all(
      ["x", "y", "z"].map((id) => group.get("a").turns.open(buildTurn(id))),
    );
    expect(answers.sort()).to.deep.equal([
      "admitted",
      "admitted",
      "over_budget",
    ]);
  });
});
