/**
 * The inputs, notices and outputs of membership.
 */
import type {
  Effect,
  MembershipMessage,
  NodeSpec,
  Revision,
  VmId,
  VmListing,
} from "@camphorlock/types";
import type { NodeChange } from "./node_table.ts";
import type { MembershipSettings } from "./settings.ts";

/** What membership is told. */
export type MembershipInput =
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: MembershipMessage;
  }
  | { readonly kind: "tick" }
  | { readonly kind: "vm_list"; readonly vms: readonly VmListing[] }
  | {
    /** The highest configuration revision that this node has in force. */
    readonly kind: "revision";
    readonly revision: Revision;
  };

/** What the node has to know at once. */
export type MembershipNotice =
  | { readonly kind: "node_changed"; readonly change: NodeChange }
  | {
    /** Others took this node for suspect or dead; it has refuted. */
    readonly kind: "self_refuted";
  }
  | {
    /** A later process runs on this VM: this one has to stop. */
    readonly kind: "self_superseded";
    readonly incarnation: number;
  }
  | {
    /** The platform's list says that this VM is leaving. */
    readonly kind: "self_listed_leaving";
  };

/** What membership decided. */
export interface MembershipStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly MembershipNotice[];
}

/** What a membership is made of. */
export interface MembershipOptions {
  readonly self: NodeSpec;
  /** Seeds the random choices; differs between nodes. */
  readonly seed: number;
  readonly settings?: Partial<MembershipSettings>;
}
