/**
 * Operators' changes and queries that wait for a result at this node.
 */
import type { Failure } from "@camphorlock/codes";
import type { CollectedRows, NodeNotice } from "@camphorlock/scheduler";
import type { RequestId, Revision, VmId } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";

/** The result of an accepted change. */
export interface ChangeResult {
  readonly revision: Revision;
  /** Set if every node reported the revision in time. */
  readonly inForce?: {
    readonly elapsedMs: number;
    readonly nodes: readonly VmId[];
  };
  /** Nodes that didn't report the revision in time. */
  readonly missing?: readonly VmId[];
}

interface PendingChange {
  readonly settle: (result: Result<ChangeResult, Failure>) => void;
}

/** Resolves waiting changes and queries with the notices of the core. */
export class OperationWaiters {
  readonly #changes = new Map<RequestId, PendingChange>();
  readonly #queries = new Map<
    RequestId,
    (rows: CollectedRows) => void
  >();

  /** Waits until a change is in force, has failed or isn't reported in time. */
  waitChange(requestId: RequestId): Promise<Result<ChangeResult, Failure>> {
    return new Promise((resolve) => {
      this.#changes.set(requestId, { settle: resolve });
    });
  }

  /** Waits for the rows of the nodes that respond in time. */
  waitRows(requestId: RequestId): Promise<CollectedRows> {
    return new Promise((resolve) => this.#queries.set(requestId, resolve));
  }

  /** Handles a notice; ignores those about neither changes nor queries. */
  handle(notice: NodeNotice): void {
    switch (notice.kind) {
      case "change_in_force": {
        const { requestId, revision, elapsedMs, nodes } = notice;
        const inForce = { elapsedMs, nodes };
        return this.#settle(requestId, ok({ revision, inForce }));
      }
      case "change_spreading": {
        const { requestId, revision, missing } = notice;
        return this.#settle(requestId, ok({ revision, missing }));
      }
      case "query_answered":
        this.#queries.get(notice.requestId)?.(notice);
        this.#queries.delete(notice.requestId);
        return;
      case "change_refused":
      case "change_uncertain":
        return this.#settle(notice.requestId, err(notice.failure));
      default:
        return;
    }
  }

  #settle(requestId: RequestId, result: Result<ChangeResult, Failure>): void {
    this.#changes.get(requestId)?.settle(result);
    this.#changes.delete(requestId);
  }
}
