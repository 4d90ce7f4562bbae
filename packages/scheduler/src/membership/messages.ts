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

/** An input of the membership role. */
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

/** A notice that the node has to act on. */
export type MembershipNotice =
  | { readonly kind: "node_changed"; readonly change: NodeChange }
  | {
    /** Others listed this node as suspect or dead; it refuted the update. */
    readonly kind: "self_refuted";
  }
  | {
    /** A later process runs on this VM, so this process has to stop. */
    readonly kind: "self_superseded";
    readonly incarnation: number;
  }
  | {
    /** The platform lists this VM as leaving. */
    readonly kind: "self_listed_leaving";
  };

/** The effects and notices of one input. */
export interface MembershipStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly MembershipNotice[];
}

/** The options of the membership role. */
export interface MembershipOptions {
  readonly self: NodeSpec;
  /** Seeds the random choices; differs between nodes. */
  readonly seed: number;
  readonly settings?: Partial<MembershipSettings>;
}
