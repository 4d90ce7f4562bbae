/**
 * Queries and commands of operators, as parsed from the operator language.
 */
import type {
  BudgetKind,
  ConfigurationValue,
  CostClass,
  PartnerShare,
} from "./configuration.ts";
import type {
  CallId,
  Micros,
  Partner,
  ProgramId,
  Region,
  Revision,
  TargetId,
  VmId,
} from "./ids.ts";
import type { TargetSpec } from "./target.ts";

/** The tables that `show` can read. */
export const SHOW_SUBJECTS = [
  "programs",
  "calls",
  "nodes",
  "targets",
  "budgets",
  "agreements",
  "models",
  "services",
  "teams",
  "placements",
  "policies",
  "drains",
  "changes",
  "shards",
] as const;

/** A table that `show` can read. */
export type ShowSubject = typeof SHOW_SUBJECTS[number];

/** The operator with which a filter compares a column with a value. */
export type FilterOperator = "=" | "!=" | "<" | "<=" | ">" | ">=";

/** One condition on a column. */
export interface Filter {
  readonly column: string;
  readonly operator: FilterOperator;
  /** The value as written; compared by the column's type. */
  readonly value: string;
}

/** One sort key of the rows. */
export interface Ordering {
  readonly column: string;
  readonly descending: boolean;
}

/** Queries the rows of a table. */
export interface ShowCommand {
  readonly kind: "show";
  readonly subject: ShowSubject;
  /** A row must match all filters. */
  readonly filters: readonly Filter[];
  readonly orderBy: readonly Ordering[];
  readonly limit?: number;
  readonly asOf?: Revision;
}

/** Requests a partner's statement for a range of days, both included. */
export interface StatementCommand {
  readonly kind: "statement";
  readonly partner: Partner;
  /** ISO dates in UTC. */
  readonly from: string;
  readonly to: string;
}

/** Requests the decisions made for one call, charge or program. */
export type ExplainCommand =
  | { readonly kind: "explain_call"; readonly callId: CallId }
  | { readonly kind: "explain_charge"; readonly callId: CallId }
  | { readonly kind: "explain_program"; readonly programId: ProgramId };

/** Ends a program. Sent to the program's owner. */
export interface StopCommand {
  readonly kind: "stop_program";
  readonly programId: ProgramId;
}

/** A change of the configuration. */
export type ChangeCommand =
  | {
    readonly kind: "set_budget";
    readonly budget: BudgetKind;
    readonly name: string;
    readonly limitMicros: Micros;
  }
  | {
    readonly kind: "set_model_price";
    readonly model: string;
    readonly part: "prompt" | "cached" | "completion";
    readonly micros: Micros;
  }
  | {
    readonly kind: "set_service_price";
    readonly service: string;
    readonly micros: Micros;
  }
  | {
    readonly kind: "set_policy";
    readonly name: string;
    readonly value: string;
  }
  | {
    readonly kind: "set_team";
    readonly team: string;
    readonly partner: Partner;
    readonly sharedWork: boolean;
  }
  | { readonly kind: "set_target"; readonly target: TargetSpec }
  | { readonly kind: "remove_target"; readonly targetId: TargetId }
  | {
    readonly kind: "split_costs";
    readonly costClass: CostClass;
    readonly shares: readonly PartnerShare[];
    readonly remainderTo?: Partner;
  }
  | {
    readonly kind: "drain_target";
    readonly targetId: TargetId;
    readonly draining: boolean;
  }
  | {
    readonly kind: "drain_vm";
    readonly vmId: VmId;
    readonly draining: boolean;
  }
  | {
    readonly kind: "place_partner";
    readonly partner: Partner;
    readonly regions: readonly Region[];
  }
  | {
    /** Replaces the complete configuration, as at a first deployment. */
    readonly kind: "import_configuration";
    readonly value: ConfigurationValue;
  };

/** A change, and the revision that it requires if the operator named one. */
export interface ChangeOrder {
  readonly kind: "change";
  readonly change: ChangeCommand;
  readonly ifRevision?: Revision;
}

/** Any statement of the operator language. */
export type OperatorCommand =
  | ShowCommand
  | StatementCommand
  | ExplainCommand
  | StopCommand
  | ChangeOrder;
