import { expect } from "chai";
import { MUTATIONS } from "./mutations.ts";
import { runMutation } from "./run_mutation.ts";

const TIMEOUT_MS = 300_000;

describe("the history checker detects that", () => {
  for (const mutation of MUTATIONS) {
    it(mutation.name, async function () {
      this.timeout(TIMEOUT_MS);
      const { isDetected, output } = await runMutation(mutation);
      expect(isDetected, output.slice(-2_000)).to.equal(true);
    });
  }
});
