/**
 * What the configuration role is told, and what it tells its node.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  ChangeCommand,
  ConfigurationMessage,
  ConfigurationValue,
  Effect,
  MembershipView,
  OperatorName,
  PlatformAnswer,
  PlatformToken,
  Region,
  RequestId,
  Revision,
  VmId,
} from "@camphorlock/types";

/** A change that an operator ordered at this node. */
export interface ChangeInput {
  readonly kind: "change";
  readonly requestId: RequestId;
  /**
   * Names the change across nodes and retries: a repeat under the same id is
   * answered with the stored revision. Made from the request where absent.
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

/** Anything the role is told. */
export type ConfigurationInput =
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: ConfigurationMessage;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformAnswer;
  }
  | { readonly kind: "tick" }
  | {
    readonly kind: "members";
    readonly view: MembershipView;
    /** Whether the membership finds most nodes out of reach. */
    readonly isCutOff: boolean;
    /** The VMs of the platform's list, heard from or not. */
    readonly listed?: readonly VmId[];
  }
  | {
    /** A revision that a heartbeat or a fresh rumour carried. */
    readonly kind: "peer_revision";
    readonly vmId: VmId;
    readonly revision: Revision;
  }
  | ChangeInput;

/** What the node has to act on. */
export type ConfigurationNotice =
  | {
    readonly kind: "in_force";
    readonly revision: Revision;
    readonly value: ConfigurationValue;
  }
  | {
    /** The node may serve: its configuration is the latest there is. */
    readonly kind: "ready";
    readonly revision: Revision;
  }
  | {
    /** The node must take no work: a newer configuration may be in force. */
    readonly kind: "cut_off";
  }
  | {
    /** The change is stored and will never be taken back. */
    readonly kind: "change_accepted";
    readonly requestId: RequestId;
    readonly changeId: string;
    readonly revision: Revision;
  }
  | {
    /** The change is in no revision, and never will be. */
    readonly kind: "change_refused";
    readonly requestId: RequestId;
    readonly failure: Failure;
  }
  | {
    /** The platform hasn't told in time whether the change is stored. */
    readonly kind: "change_uncertain";
    readonly requestId: RequestId;
    readonly changeId: string;
    readonly failure: Failure;
  }
  | {
    /** Every node not presumed dead has reported the revision or a later. */
    readonly kind: "change_in_force";
    readonly requestId: RequestId;
    readonly revision: Revision;
    /** From acceptance to the last node's report. */
    readonly elapsedMs: number;
    readonly nodes: readonly VmId[];
    /** Nodes that didn't report and that the membership finds dead. */
    readonly presumedDead: readonly VmId[];
  }
  | {
    /** Some nodes haven't reported the revision in the stated time. */
    readonly kind: "change_spreading";
    readonly requestId: RequestId;
    readonly revision: Revision;
    readonly missing: readonly VmId[];
  };

/** What the role asks for in answer to an input. */
export interface ConfigurationStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly ConfigurationNotice[];
}

/** What a node starts the role with. */
export interface ConfigurationOptions {
  readonly self: VmId;
  /** Rises with each start of the process on this VM. */
  readonly incarnation: number;
  readonly region: Region;
  /** Becomes revision 1 where the platform holds no configuration. */
  readonly initial?: {
    readonly value: ConfigurationValue;
    readonly by: OperatorName;
    /** Wall clock, milliseconds since the Unix epoch. */
    readonly atMs: number;
  };
  /** A peer heard from within this time counts as reached. */
  readonly heardWithinMs?: number;
  /** Revisions that stay on the platform and can be asked for `as of`. */
  readonly keptRevisions?: number;
}
