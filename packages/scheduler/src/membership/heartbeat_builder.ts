/**
 * Builds heartbeats and their acknowledgements from this node's state.
 */
import type {
  MembershipMessage,
  NodeDigest,
  RevisionReport,
  VmId,
} from "@camphorlock/types";
import type { GossipQueue } from "./gossip_queue.ts";
import type { NodeTable } from "./node_table.ts";
import type { RandomChooser } from "./random.ts";
import {
  buildReport,
  buildReportResponse,
  type RevisionSummary,
} from "./revision_report.ts";
import type { SelfStatement } from "./self_statement.ts";
import type { MembershipSettings } from "./settings.ts";

/** A heartbeat message. */
export type Heartbeat = Extract<MembershipMessage, { kind: "heartbeat" }>;

/** The acknowledgement of a heartbeat. */
export type HeartbeatAck = Extract<
  MembershipMessage,
  { kind: "heartbeat_ack" }
>;

/** The state and settings that heartbeats are built from. */
export interface HeartbeatDependencies {
  readonly settings: MembershipSettings;
  readonly random: RandomChooser;
  readonly table: NodeTable;
  readonly updates: GossipQueue;
  readonly self: SelfStatement;
}

interface ReportField {
  readonly report?: RevisionReport;
}

/** Builds the heartbeats and acknowledgements of one node. */
export class HeartbeatBuilder {
  readonly #dependencies: HeartbeatDependencies;
  #lastNumber = 0;

  constructor(dependencies: HeartbeatDependencies) {
    this.#dependencies = dependencies;
  }

  /** Builds the next heartbeat to a node. */
  buildHeartbeat(to: VmId): Heartbeat {
    const { self, table } = this.#dependencies;
    const { spec, revision, number } = self.getDigest();
    this.#lastNumber += 1;
    return {
      kind: "heartbeat",
      spec,
      state: self.getState(),
      revision,
      number: this.#lastNumber,
      stateNumber: number,
      knownNodes: table.countLiving(),
      digest: this.#buildDigest(to),
      ...this.#buildReportField(),
    };
  }

  /** Builds the acknowledgement. A sender that lacks nodes gets a catch-up. */
  buildAck(to: VmId, heartbeat: Heartbeat): HeartbeatAck {
    const { self, table } = this.#dependencies;
    const { spec, revision } = self.getDigest();
    const missing = table.countLiving() - heartbeat.knownNodes;
    const digest = missing > 0
      ? this.#buildCatchUp(to, missing)
      : this.#buildDigest(to);
    return {
      kind: "heartbeat_ack",
      number: heartbeat.number,
      incarnation: spec.incarnation,
      revision,
      digest,
      ...this.#buildReportResponse(heartbeat.report),
    };
  }

  /** Builds the updates for a node, first a suspicion that it has to refute. */
  #buildDigest(to: VmId): NodeDigest[] {
    const { settings, table, updates } = this.#dependencies;
    const digest: NodeDigest[] = [];
    const receiver = table.find(to)?.digest;
    if (receiver?.state === "suspect" || receiver?.state === "dead") {
      digest.push(receiver);
    }
    for (const vmId of updates.take(settings.digestLimit)) {
      const update = this.#findDigest(vmId);
      if (update !== undefined && vmId !== to) digest.push(update);
    }
    return digest;
  }

  #buildCatchUp(to: VmId, missing: number): NodeDigest[] {
    const { settings, random, table, self } = this.#dependencies;
    const { catchUpMinimum, catchUpLimit, catchUpPerNode } = settings;
    const wanted = Math.max(catchUpMinimum, missing * catchUpPerNode);
    const others = [...table.list()].map((record) => record.digest);
    const some = random.chooseSome(others, Math.min(wanted, catchUpLimit));
    return [self.getDigest(), ...this.#buildDigest(to), ...some];
  }

  #findDigest(vmId: VmId): NodeDigest | undefined {
    const { self, table } = this.#dependencies;
    const own = self.getDigest();
    return vmId === own.spec.vmId ? own : table.find(vmId)?.digest;
  }

  /** Builds a report unless all processes are known to be up to date. */
  #buildReportField(): ReportField {
    const { settings, random } = this.#dependencies;
    const summary = this.#getRevisionSummary();
    if (summary.lacking.length === 0) return {};
    const limit = settings.reportLimit;
    return { report: buildReport(summary, { random, limit }) };
  }

  #buildReportResponse(requested: RevisionReport | undefined): ReportField {
    if (requested === undefined) return {};
    const { settings, random } = this.#dependencies;
    const limit = settings.reportLimit;
    const summary = this.#getRevisionSummary();
    return {
      report: buildReportResponse(summary, { ...requested, random, limit }),
    };
  }

  #getRevisionSummary(): RevisionSummary {
    const { self, table } = this.#dependencies;
    return table.getRevisionSummary(self.getDigest());
  }
}
