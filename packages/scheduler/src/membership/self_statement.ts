/**
 * The digest that this node publishes about itself, and its refutations.
 */
import type { NodeDigest, NodeSpec, Revision } from "@camphorlock/types";

/** How this node reacts to an update about itself. */
export type SelfUpdateOutcome =
  | "none"
  /** The update is about an earlier process; the current digest is sent. */
  | "spread"
  /** The update was false and has been refuted. */
  | "refuted"
  /** A later process runs on this VM. */
  | "superseded";

/** Holds this node's own digest. */
export class SelfStatement {
  #digest: NodeDigest;

  constructor(spec: NodeSpec) {
    this.#digest = { spec, state: "alive", number: 1, revision: 0 };
  }

  /** Gets the current digest. */
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

  /** Sets the state to leaving; returns whether that changed it. */
  setLeaving(): boolean {
    if (this.#digest.state === "leaving") return false;
    const number = this.#digest.number + 1;
    this.#digest = { ...this.#digest, state: "leaving", number };
    return true;
  }

  /** Applies an update about this node, and refutes it if it's false. */
  applyUpdate(update: NodeDigest): SelfUpdateOutcome {
    const { spec, number } = this.#digest;
    const { incarnation } = update.spec;
    if (incarnation > spec.incarnation) return "superseded";
    if (incarnation < spec.incarnation) return "spread";
    if (update.state !== "suspect" && update.state !== "dead") return "none";
    if (update.number < number) return "none";
    this.#digest = { ...this.#digest, number: update.number + 1 };
    return "refuted";
  }
}
