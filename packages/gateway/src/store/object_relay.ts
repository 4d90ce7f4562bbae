/**
 * Answers the calls with which other gateways list and watch objects here
 * instead of at the store.
 */
import type { ObjectCall, PeerResponse } from "../peers/peer_messages.ts";
import type { ObjectCache } from "./object_cache.ts";

/** Answers a call from a copy; empty if there is no copy. */
export async function answerObjectCall(
  cache: ObjectCache | undefined,
  call: ObjectCall,
): Promise<Omit<PeerResponse, "from">> {
  switch (call.kind) {
    case "list_objects": {
      const listed = cache?.list();
      if (cache === undefined || listed === undefined) return {};
      const { isAgeBound } = cache;
      return { listed, ageMs: cache.computeAgeMs(), isAgeBound };
    }
    case "watch_objects": {
      const { afterRevision, maxAgeMs } = call;
      const receivedAtMs = performance.now();
      const isRecent = cache !== undefined &&
        cache.computeAgeMs() <= maxAgeMs;
      const waitMs = isRecent ? call.waitMs : 0;
      await cache?.waitForChanges(afterRevision, waitMs);
      // Both at one moment: a confirmation that comes between them would be of
      // a later revision than the changes, and make them look younger.
      const changes = cache?.listChanges(afterRevision);
      if (cache === undefined || changes === undefined) {
        return { isHistoryGone: true };
      }
      const ageMs = cache.computeAgeMs();
      const heldMs = performance.now() - receivedAtMs;
      return { changes, ageMs, isAgeBound: cache.isAgeBound, heldMs };
    }
  }
}
