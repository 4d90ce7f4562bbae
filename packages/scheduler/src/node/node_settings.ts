/**
 * The options of a node, and the limits of its roles.
 */
import type {
  ConfigurationValue,
  NodeSpec,
  OperatorName,
} from "@camphorlock/types";
import type { AssignmentSettings } from "../assignment/mod.ts";
import { DEFAULT_ENTRY_LIMITS, type EntryLimits } from "../entry/mod.ts";
import { DEFAULT_LEDGER_LIMITS, type LedgerLimits } from "../ledger/mod.ts";
import type { MembershipSettings } from "../membership/mod.ts";
import { DEFAULT_OWNER_LIMITS, type OwnerLimits } from "../owner/mod.ts";

/** The bounds and periods of all roles of a node. */
export interface NodeLimits {
  readonly entry: EntryLimits;
  readonly owner: OwnerLimits;
  readonly ledger: LedgerLimits;
  readonly membership: Partial<MembershipSettings>;
  readonly assignment: Partial<AssignmentSettings>;
  /** Maximum bytes of other owners' entries that this node replicates. */
  readonly replicaBytes: number;
  /** Maximum rate of this node's writes to the platform, per second. */
  readonly writesPerSecond: number;
  /** Wait for unresponsive replicas before entries are declared lost. */
  readonly exposeAfterMs: number;
}

const REPLICA_BYTES = 24_000_000;
const WRITES_PER_SECOND = 20;
const EXPOSE_AFTER_MS = 60_000;

/** The limits used unless the settings contain others. */
export const DEFAULT_NODE_LIMITS: NodeLimits = {
  entry: DEFAULT_ENTRY_LIMITS,
  owner: DEFAULT_OWNER_LIMITS,
  ledger: DEFAULT_LEDGER_LIMITS,
  membership: {},
  assignment: {},
  replicaBytes: REPLICA_BYTES,
  writesPerSecond: WRITES_PER_SECOND,
  exposeAfterMs: EXPOSE_AFTER_MS,
};

/** The options of a node. */
export interface NodeOptions {
  readonly spec: NodeSpec;
  readonly limits: NodeLimits;
  /** Seeds the node's random choices; differs between nodes and starts. */
  readonly seed: number;
  /** Becomes revision 1 if the platform holds no configuration. */
  readonly initial?: {
    readonly value: ConfigurationValue;
    readonly by: OperatorName;
    readonly atMs: number;
  };
  /** Wall-clock time for stored entries, in milliseconds since the epoch. */
  readonly getWallClockMs: () => number;
}
