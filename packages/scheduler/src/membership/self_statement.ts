/**
 * What this node states about itself, and how it answers rumours about it.
 */
import type { NodeDigest, NodeSpec, Revision } from "@camphorlock/types";

/** What a rumour about this node calls for. */
export type RumourAnswer =
  | "none"
  /** The rumour is about a former process: the present one is made known. */
  | "spread"
  /** The rumour was false and has been refuted. */
  | "refuted"
  /** A later process runs on this VM. */
  | "superseded";

/** This node's own digest. */
export class SelfStatement {
  #digest: NodeDigest;

  constructor(spec: NodeSpec) {
    this.#digest = { spec, state: "alive", number: 1, revision: 0 };
  }

  /** Gets the present statement. */
  getDigest(): NodeDigest {
    return this.#digest;
  }

  /** Gets the state that heartbeats carry. */
  getState(): "alive" | "leaving" {
    return this.#digest.state === "leaving" ? "leaving" : "alive";
  }

  /** Raises the configuration revision. */
  setRevision(revision: Revision): void {
    if (revision <= this.#digest.revision) return;
    this.#digest = { ...this.#digest, revision };
  }

  /** States that the node leaves; returns whether that's new. */
  setLeaving(): boolean {
    if (this.#digest.state === "leaving") return false;
    const number = this.#digest.number + 1;
    this.#digest = { ...this.#digest, state: "leaving", number };
    return true;
  }

  /** Takes a rumour about this node, and refutes it if it's false. */
  applyRumour(rumour: NodeDigest): RumourAnswer {
    const { spec, number } = this.#digest;
    const { incarnation } = rumour.spec;
    if (incarnation > spec.incarnation) return "superseded";
    if (incarnation < spec.incarnation) return "spread";
    if (rumour.state !== "suspect" && rumour.state !== "dead") return "none";
    if (rumour.number < number) return "none";
    this.#digest = { ...this.#digest, number: rumour.number + 1 };
    return "refuted";
  }
}
