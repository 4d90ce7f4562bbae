/**
 * The propagation of revisions between nodes.
 *
 * A node that has just applied a revision pushes it to a few others. A node
 * with a lower revision than a peer requests the missing records. A node with
 * no record to send responds with its own revision only, which shows that a
 * change is in force there.
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
import type { ConfigurationPeers } from "./configuration_peers.ts";
import { decodeRecord, encodeRecord } from "./record.ts";

const REQUEST_RETRY_MS = 1_000;

/** The value of an offer that reports a revision without a record. */
const EMPTY_RECORD = new Uint8Array(0);

/** Pushes, requests and serves revisions for this node. */
export class RevisionPropagator {
  readonly #history: RevisionHistory;
  readonly #peers: ConfigurationPeers;
  #lastRequestAtMs = -REQUEST_RETRY_MS;
  #attempts = 0;

  constructor(history: RevisionHistory, peers: ConfigurationPeers) {
    this.#history = history;
    this.#peers = peers;
  }

  /** Handles a message from a peer. */
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
        return this.#handleRequest(from, revision);
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

  /** Pushes a revision that this node has just applied to some peers. */
  sendUpdate(record: RevisionRecord): readonly Effect[] {
    const { revision } = record;
    const bytes = encodeRecord(record);
    return this.#peers.choosePushReceivers(revision).map((vmId) => {
      return buildOffer(vmId, { revision, bytes });
    });
  }

  /** Requests missing revisions from one peer that is ahead of this node. */
  sendRequest(nowMs: number): readonly Effect[] {
    const { revision } = this.#history;
    if (this.#peers.highestRevision <= revision) {
      this.#attempts = 0;
      return [];
    }
    if (nowMs - this.#lastRequestAtMs < REQUEST_RETRY_MS) return [];
    const from = this.#peers.findPeerAhead(revision, this.#attempts);
    if (from === undefined) return [];
    this.#lastRequestAtMs = nowMs;
    this.#attempts += 1;
    return this.sendRequests([from]);
  }

  /** Requests later revisions; each node responds at least with its own. */
  sendRequests(vmIds: readonly VmId[]): readonly Effect[] {
    const afterRevision = this.#history.revision;
    const message = { kind: "configuration_request", afterRevision } as const;
    return vmIds.map((to) => ({ kind: "send_peer", to, message }));
  }

  #handleRequest(from: VmId, afterRevision: Revision): readonly Effect[] {
    const missing = this.#history.encodeAfter(afterRevision);
    const report = { revision: this.#history.revision, bytes: EMPTY_RECORD };
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
