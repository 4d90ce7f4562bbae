import { expect } from "chai";
import { ok } from "neverthrow";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { TokenAccounts } from "../decisions/token_accounts.ts";
import { GatewayLog } from "../log.ts";
import type { PeerAnswer, PeerMessage } from "../peers/peer_messages.ts";
import type { ObjectStore } from "../ports.ts";
import { AccountHome } from "./account_home.ts";
import { TurnAccounts } from "./turn_accounts.ts";

const STORE = {
  create: () => Promise.resolve(ok({ revision: 1 })),
  update: () => Promise.resolve(ok({ revision: 1 })),
} as unknown as ObjectStore;
const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");

function buildInfo(vmId: string): PeerInfo {
  return {
    vmId,
    host: "127.0.0.1",
    port: 1,
    region: "north",
    bootId: "1",
    isLeaving: false,
  };
}

/** Gateways that reach each other but for the pairs that are cut. */
class Group {
  readonly cut = new Set<string>();
  readonly members = new Map<string, ReturnType<Group["build"]>>();

  build(vmId: string, all: readonly string[]) {
    const accounts = new TokenAccounts();
    const home = new AccountHome({
      accounts,
      store: STORE,
      log: LOG,
      isStoreLost: () => false,
    });
    const directory = new PeerDirectory(buildInfo(vmId));
    for (const other of all) directory.add(buildInfo(other));
    const turns = new TurnAccounts({
      directory,
      accounts,
      home,
      selfId: vmId,
      links: { call: (peer, message) => this.#call(vmId, { peer, message }) },
    });
    return { accounts, home, directory, turns };
  }

  add(ids: readonly string[]): void {
    for (const id of ids) this.members.set(id, this.build(id, ids));
  }

  get(id: string) {
    const member = this.members.get(id);
    if (member === undefined) throw new Error(id);
    return member;
  }

  async #call(
    from: string,
    { peer, message }: { peer: PeerInfo; message: PeerMessage },
  ): Promise<PeerAnswer | undefined> {
    await new Promise((resolve) => setTimeout(resolve, 1));
    const { accounts, home } = this.get(peer.vmId);
    if (this.cut.has(`${from}-${peer.vmId}`)) {
      this.get(from).directory.suspect(peer.vmId);
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
        return answer;
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
