import { expect } from "chai";
import { MUTATIONS } from "./mutations.ts";
import { runMutation } from "./run_mutation.ts";

const LIMIT_MS = 300_000;

describe("the history checker notices that", () => {
  for (const mutation of MUTATIONS) {
    it(mutation.name, async function () {
      this.timeout(LIMIT_MS);
      const { isNoticed, printed } = await runMutation(mutation);
      expect(isNoticed, printed.slice(-2_000)).to.equal(true);
    });
  }
});
