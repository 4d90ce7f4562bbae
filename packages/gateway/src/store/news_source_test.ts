import { expect } from "chai";
import { err, ok } from "neverthrow";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import type { PeerAnswer } from "../peers/peer_messages.ts";
import { NewsSource, type ObjectSource } from "./news_source.ts";
import { buildPeer } from "../peer_fixture_test.ts";

const MAX_AGE_MS = 900;

const IDS = ["a", "b", "c", "d", "e", "f"];
const ORDER = new PeerDirectory(buildPeer("a"));
for (const id of IDS) ORDER.add(buildPeer(id));
const SORTED = ORDER.sortRelays().map(({ vmId }) => vmId);

/** A gateway that is the last in the order, and how old the others' news is. */
function buildSource(
  ages: Readonly<Record<string, number>>,
  isTurnedAway: boolean,
) {
  const selfId = SORTED.at(-1) ?? "";
  const directory = new PeerDirectory(buildPeer(selfId));
  for (const id of IDS) directory.add(buildPeer(id));
  const asked: string[] = [];
  const value = { changes: [], revision: 9 };
  const store: ObjectSource = {
    list: () => Promise.reject(new Error("not asked")),
    watch: () => {
      asked.push("store");
      return Promise.resolve(
        isTurnedAway
          ? err({ kind: "refused" as const, detail: "status 503" })
          : ok({ value, confirmedAtMs: 0 }),
      );
    },
  };
  const links = {
    call: (peer: PeerInfo): Promise<PeerAnswer | undefined> => {
      asked.push(peer.vmId);
      const ageMs = ages[peer.vmId];
      return Promise.resolve(
        ageMs === undefined ? undefined : { from: peer, changes: value, ageMs },
      );
    },
  };
  const source = new NewsSource({
    store,
    directory,
    links,
    selfId,
    maxAgeMs: MAX_AGE_MS,
  });
  return { source, asked };
}

describe("news source", () => {
  const [first = "", second = "", third = "", fourth = ""] = SORTED;

  it("follows the first gateway whose news is recent", async () => {
    const { source, asked } = buildSource({ [first]: 5, [second]: 5 }, false);
    expect((await source.watch("targets", 1)).isOk()).to.equal(true);
    expect(asked).to.deep.equal([first]);
  });

  it("turns to the store when what the others know is old", async () => {
    const old = MAX_AGE_MS + 1;
    const ages = { [first]: old, [second]: old };
    const { source, asked } = buildSource(ages, false);
    expect((await source.watch("targets", 1)).isOk()).to.equal(true);
    expect(asked).to.deep.equal([first, second, "store"]);
  });

  it("turns to a gateway that reaches the store when it's turned away", async () => {
    const ages = { [first]: 2_000, [second]: 2_000, [fourth]: 5 };
    const { source, asked } = buildSource(ages, true);
    expect((await source.watch("targets", 1)).isOk()).to.equal(true);
    expect(asked).to.deep.equal([first, second, "store", third, fourth]);
    // The store isn't asked again while another gateway has the news.
    asked.length = 0;
    expect((await source.watch("targets", 1)).isOk()).to.equal(true);
    expect(asked).to.deep.equal([first, second, third, fourth]);
  });

  it("reports the store's failure when nobody has recent news", async () => {
    const { source } = buildSource({}, true);
    const answer = await source.watch("targets", 1);
    expect(answer.isErr() && answer.error.kind).to.equal("refused");
  });
});
