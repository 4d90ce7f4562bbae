/**
 * Inputs, results and options of the configuration role.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  ChangeCommand,
  ConfigurationMessage,
  ConfigurationValue,
  Effect,
  MembershipView,
  OperatorName,
  PlatformResponse,
  PlatformToken,
  Region,
  RequestId,
  Revision,
  VmId,
} from "@camphorlock/types";

/** A change that an operator submitted at this node. */
export interface ChangeInput {
  readonly kind: "change";
  readonly requestId: RequestId;
  /**
   * Identifies the change across nodes and retries: a repeat with the same id
   * returns the stored revision. Derived from the request id if absent.
   */
  readonly changeId?: string;
  readonly change: ChangeCommand;
  /** The command as the operator wrote it. */
  readonly text: string;
  readonly by: OperatorName;
  readonly ifRevision?: Revision;
  /** Wall clock, milliseconds since the Unix epoch. */
  readonly atMs: number;
}

/** An input of the configuration role. */
export type ConfigurationInput =
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: ConfigurationMessage;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformResponse;
  }
  | { readonly kind: "tick" }
  | {
    readonly kind: "members";
    readonly view: MembershipView;
    /** Whether the membership finds most nodes unreachable. */
    readonly isCutOff: boolean;
    /** The VMs of the platform's list, discovered or not. */
    readonly listed?: readonly VmId[];
  }
  | {
    /** A revision that a heartbeat or a recent gossip message reported. */
    readonly kind: "peer_revision";
    readonly vmId: VmId;
    readonly revision: Revision;
  }
  | ChangeInput;

/** An event that the node acts on. */
export type ConfigurationNotice =
  | {
    readonly kind: "in_force";
    readonly revision: Revision;
    readonly value: ConfigurationValue;
  }
  | {
    /** The node may serve: its configuration is the latest one. */
    readonly kind: "ready";
    readonly revision: Revision;
  }
  | {
    /** The node must accept no work: a newer revision may be in force. */
    readonly kind: "cut_off";
  }
  | {
    /** The change is stored and will never be reverted. */
    readonly kind: "change_accepted";
    readonly requestId: RequestId;
    readonly changeId: string;
    readonly revision: Revision;
  }
  | {
    /** The change isn't part of any revision and never will be. */
    readonly kind: "change_refused";
    readonly requestId: RequestId;
    readonly failure: Failure;
  }
  | {
    /** The platform didn't confirm in time whether the change is stored. */
    readonly kind: "change_uncertain";
    readonly requestId: RequestId;
    readonly changeId: string;
    readonly failure: Failure;
  }
  | {
    /** Every node not presumed dead reported this revision or a later one. */
    readonly kind: "change_in_force";
    readonly requestId: RequestId;
    readonly revision: Revision;
    /** Time from acceptance to the last node's report. */
    readonly elapsedMs: number;
    readonly nodes: readonly VmId[];
    /** Nodes that didn't report and that the membership considers dead. */
    readonly presumedDead: readonly VmId[];
  }
  | {
    /** Some nodes haven't reported the revision within the report period. */
    readonly kind: "change_spreading";
    readonly requestId: RequestId;
    readonly revision: Revision;
    readonly missing: readonly VmId[];
  };

/** The effects and notices that an input results in. */
export interface ConfigurationStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly ConfigurationNotice[];
}

/** Options of the configuration role. */
export interface ConfigurationOptions {
  readonly self: VmId;
  /** Increases with each start of the process on this VM. */
  readonly incarnation: number;
  readonly region: Region;
  /** Stored as revision 1 if the platform holds no configuration. */
  readonly initial?: {
    readonly value: ConfigurationValue;
    readonly by: OperatorName;
    /** Wall clock, milliseconds since the Unix epoch. */
    readonly atMs: number;
  };
  /** A peer counts as reachable for this long after its last message. */
  readonly reachableWithinMs?: number;
  /** Number of revisions kept on the platform for `as of` queries. */
  readonly keptRevisions?: number;
}
