/**
 * The spread of revisions between nodes.
 *
 * A node that has just adopted a revision pushes it to a few others. One that
 * learns of a higher revision than its own asks for what it misses. A request
 * that finds nothing missing is answered with the own revision, which is the
 * evidence that a change is in force there.
 */
import {
  checkNever,
  type ConfigurationMessage,
  type Effect,
  type Revision,
  type RevisionRecord,
  type VmId,
} from "@camphorlock/types";
import type { RevisionHistory } from "./history.ts";
import type { ConfigurationPeers } from "./peers.ts";
import { decodeRecord, encodeRecord } from "./record.ts";

const REQUEST_RETRY_MS = 1_000;

/** In place of a record, where an offer only reports the revision. */
const NO_RECORD = new Uint8Array(0);

/** This node's part in the spread of revisions. */
export class RevisionSpreader {
  readonly #history: RevisionHistory;
  readonly #peers: ConfigurationPeers;
  #requestedAtMs = -REQUEST_RETRY_MS;
  #tries = 0;

  constructor(history: RevisionHistory, peers: ConfigurationPeers) {
    this.#history = history;
    this.#peers = peers;
  }

  /** Takes a message of a peer, and answers it. */
  handlePeer(
    from: VmId,
    message: ConfigurationMessage,
    options: { readonly nowMs: number },
  ): readonly Effect[] {
    const { nowMs } = options;
    switch (message.kind) {
      case "configuration_request": {
        const revision = message.afterRevision;
        this.#peers.record(from, { revision, nowMs });
        return this.#answerRequest(from, revision);
      }
      case "configuration_offer": {
        const { revision, value } = message;
        this.#peers.record(from, { revision, nowMs });
        this.#applyOffer(value);
        return [];
      }
      default:
        return checkNever(message);
    }
  }

  /** Sends a revision that this node has just adopted to some peers. */
  sendAdopted(record: RevisionRecord): readonly Effect[] {
    const { revision } = record;
    const bytes = encodeRecord(record);
    return this.#peers.choosePushed(revision).map((vmId) => {
      return buildOffer(vmId, { revision, bytes });
    });
  }

  /** Asks a peer that is ahead of this node, one at a time. */
  sendRequest(nowMs: number): readonly Effect[] {
    const { revision } = this.#history;
    if (this.#peers.highestRevision <= revision) {
      this.#tries = 0;
      return [];
    }
    if (nowMs - this.#requestedAtMs < REQUEST_RETRY_MS) return [];
    const from = this.#peers.findAhead(revision, this.#tries);
    if (from === undefined) return [];
    this.#requestedAtMs = nowMs;
    this.#tries += 1;
    return this.sendRequests([from]);
  }

  /** Asks nodes for what they have, which they answer with their revision. */
  sendRequests(vmIds: readonly VmId[]): readonly Effect[] {
    const afterRevision = this.#history.revision;
    const message = { kind: "configuration_request", afterRevision } as const;
    return vmIds.map((to) => ({ kind: "send_peer", to, message }));
  }

  #answerRequest(from: VmId, afterRevision: Revision): readonly Effect[] {
    const missing = this.#history.encodeAfter(afterRevision);
    const report = { revision: this.#history.revision, bytes: NO_RECORD };
    const offers = missing.length > 0 ? missing : [report];
    return offers.map((offer) => buildOffer(from, offer));
  }

  #applyOffer(value: Uint8Array): void {
    if (value.length === 0) return;
    const record = decodeRecord(value);
    if (record.isOk()) this.#history.apply(record.value);
  }
}

function buildOffer(
  to: VmId,
  offer: { readonly revision: Revision; readonly bytes: Uint8Array },
): Effect {
  const { revision, bytes: value } = offer;
  const message = { kind: "configuration_offer", revision, value } as const;
  return { kind: "send_peer", to, message };
}
