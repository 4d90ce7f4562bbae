/**
 * Builds the rows with which this node responds to an operator's query.
 */
import {
  checkNever,
  type NodeQuery,
  type ProgramView,
  type QueryRow,
  type ShardAssignment,
  type VmId,
} from "@camphorlock/types";
import type { DecisionHistory } from "./decision_history.ts";

/** The state that the rows are built from. */
export interface NodeRowSource {
  readonly self: VmId;
  readonly region: string;
  readonly failureDomain: string;
  readonly revision: number;
  readonly isReady: boolean;
  readonly isStopping: boolean;
  readonly programs: readonly ProgramView[];
  readonly assignments: readonly ShardAssignment[];
  readonly decisions: DecisionHistory;
}

/** Lists the rows for a query. */
export function listNodeRows(
  source: NodeRowSource,
  query: NodeQuery,
): readonly QueryRow[] {
  switch (query.kind) {
    case "programs":
      return source.programs.map((view) => buildProgramRow(source.self, view));
    case "nodes":
      return [buildNodeRow(source)];
    case "shards":
      return source.assignments.map(buildShardRow);
    case "decisions":
      return source.decisions.list(query.callId);
    default:
      return checkNever(query);
  }
}

function buildProgramRow(owner: VmId, view: ProgramView): QueryRow {
  const { spec } = view;
  return {
    program: spec.programId,
    partner: spec.partner,
    team: spec.team,
    agent: spec.agent,
    class: spec.programClass,
    state: view.state,
    calls: view.calls,
    running: view.running,
    budget: spec.budgetMicros,
    spent: view.spentMicros,
    reserved: view.reservedMicros,
    owner,
  };
}

function buildNodeRow(source: NodeRowSource): QueryRow {
  return {
    node: source.self,
    region: source.region,
    domain: source.failureDomain,
    state: "alive",
    revision: source.revision,
    ready: source.isReady,
    draining: source.isStopping,
    shards: source.assignments.length,
    programs: source.programs.length,
  };
}

function buildShardRow(assignment: ShardAssignment): QueryRow {
  const { shard, owner, epoch, keepers } = assignment;
  return { shard, owner, epoch, keepers: keepers.join(", ") };
}
