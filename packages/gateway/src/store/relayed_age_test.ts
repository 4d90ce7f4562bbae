import { expect } from "chai";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import { ObjectCache } from "./object_cache.ts";
import { answerObjectCall } from "./object_relay.ts";

function buildChange(revision: number) {
  const object = { name: "main", revision, value: revision, status: null };
  return { object, isRemoved: false };
}

describe("the age of a copy that another gateway watches", () => {
  let time: VirtualTime;

  beforeEach(() => {
    time = new VirtualTime();
  });

  afterEach(() => time.restore());

  // The age was read after the changes: a confirmation of revision 7 in between
  // made a response that ends with revision 6 look as young as that.
  it("belongs to the changes that it's sent with", async () => {
    const cache = new ObjectCache();
    cache.setAll({ objects: [], revision: 5 }, 0);
    time.advance(3_000);
    const answering = answerObjectCall(cache, {
      kind: "watch_objects",
      objects: "configuration",
      afterRevision: 5,
      waitMs: 1_000,
      maxAgeMs: 10_000,
    });
    // The first one ends the wait with an old confirmation, and the second one
    // follows before the response is built.
    cache.applyChanges({ changes: [buildChange(6)], revision: 6 }, 2_500);
    void Promise.resolve().then(() =>
      cache.applyChanges({ changes: [buildChange(7)], revision: 7 }, 0)
    );
    const { changes, ageMs } = await answering;
    const isLatest = changes?.revision === 7;
    expect(ageMs).to.equal(isLatest ? 0 : 2_500);
    expect(changes?.changes.at(-1)?.object.revision).to.equal(isLatest ? 7 : 6);
  });

  it("is marked as an upper bound where it's one", async () => {
    for (const isAgeBound of [true, false]) {
      const cache = new ObjectCache({ isAgeBound });
      cache.setAll({ objects: [], revision: 5 }, 40);
      const listed = await answerObjectCall(cache, {
        kind: "list_objects",
        objects: "configuration",
      });
      expect(listed).to.include({ ageMs: 40, isAgeBound });
    }
  });
});
