import { EndedTargets } from "../decisions/ended_targets.ts";
import { BlockedRequests } from "../decisions/blocked_requests.ts";
import { KeptBlocks } from "./kept_blocks.ts";

/** What a gateway needs to attribute crashes, in a test that has none. */
export const NO_CRASHES = {
  blocked: new BlockedRequests(),
  keptBlocks: new KeptBlocks({
    save: () => Promise.resolve(0),
    find: () => Promise.resolve([]),
  }),
  ended: new EndedTargets(),
  onBlocked: () => {},
};
