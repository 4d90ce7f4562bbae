/**
 * Changes of the configuration that operators ordered here and wait for.
 */
import type { Failure } from "@camphorlock/codes";
import type { CollectedRows, NodeNotice } from "@camphorlock/scheduler";
import type { RequestId, Revision, VmId } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";

/** What became of a change. */
export interface ChangeReport {
  readonly revision: Revision;
  /** Set once every node reported the revision. */
  readonly inForce?: {
    readonly elapsedMs: number;
    readonly nodes: readonly VmId[];
  };
  /** Nodes that haven't reported the revision in time. */
  readonly missing?: readonly VmId[];
}

interface OpenChange {
  readonly settle: (report: Result<ChangeReport, Failure>) => void;
}

/** Matches the notices of the configuration role to waiting operators. */
export class ChangeWaiters {
  readonly #open = new Map<RequestId, OpenChange>();
  readonly #queries = new Map<
    RequestId,
    (rows: CollectedRows) => void
  >();

  /** Waits until a change is in force, refused, or uncertain. */
  wait(requestId: RequestId): Promise<Result<ChangeReport, Failure>> {
    return new Promise((resolve) => {
      this.#open.set(requestId, { settle: resolve });
    });
  }

  /** Waits for the rows of all nodes. */
  waitRows(requestId: RequestId): Promise<CollectedRows> {
    return new Promise((resolve) => this.#queries.set(requestId, resolve));
  }

  /** Handles a notice; those about other matters have no effect. */
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

  #settle(requestId: RequestId, report: Result<ChangeReport, Failure>): void {
    this.#open.get(requestId)?.settle(report);
    this.#open.delete(requestId);
  }
}
