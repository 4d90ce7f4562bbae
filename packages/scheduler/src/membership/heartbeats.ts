/**
 * Builds heartbeats and their acknowledgements from what this node knows.
 */
import type {
  MembershipMessage,
  NodeDigest,
  RevisionReport,
  VmId,
} from "@camphorlock/types";
import type { NodeTable } from "./node_table.ts";
import type { RandomChooser } from "./random.ts";
import {
  buildAnswer,
  buildReport,
  type RevisionCensus,
} from "./revision_report.ts";
import type { RumourQueue } from "./rumours.ts";
import type { SelfStatement } from "./self_statement.ts";
import type { MembershipSettings } from "./settings.ts";

/** A heartbeat. */
export type Heartbeat = Extract<MembershipMessage, { kind: "heartbeat" }>;

/** The acknowledgement of a heartbeat. */
export type HeartbeatAck = Extract<
  MembershipMessage,
  { kind: "heartbeat_ack" }
>;

/** What heartbeats are built from. */
export interface HeartbeatParts {
  readonly settings: MembershipSettings;
  readonly random: RandomChooser;
  readonly table: NodeTable;
  readonly rumours: RumourQueue;
  readonly self: SelfStatement;
}

interface ReportField {
  readonly report?: RevisionReport;
}

/** Builds the heartbeats of one node. */
export class HeartbeatBuilder {
  readonly #parts: HeartbeatParts;
  #lastNumber = 0;

  constructor(parts: HeartbeatParts) {
    this.#parts = parts;
  }

  /** Builds the next heartbeat to a node. */
  buildHeartbeat(to: VmId): Heartbeat {
    const { self, table } = this.#parts;
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
      ...this.#startReport(),
    };
  }

  /** Builds the answer to a heartbeat; a node that knows few is sent more. */
  buildAck(to: VmId, heartbeat: Heartbeat): HeartbeatAck {
    const { self, table } = this.#parts;
    const { spec, revision } = self.getDigest();
    const lacking = table.countLiving() - heartbeat.knownNodes;
    const digest = lacking > 0
      ? this.#buildCatchUp(to, lacking)
      : this.#buildDigest(to);
    return {
      kind: "heartbeat_ack",
      number: heartbeat.number,
      incarnation: spec.incarnation,
      revision,
      digest,
      ...this.#answerReport(heartbeat.report),
    };
  }

  /** Builds the rumours for one node: first what it has to refute itself. */
  #buildDigest(to: VmId): NodeDigest[] {
    const { settings, table, rumours } = this.#parts;
    const digest: NodeDigest[] = [];
    const receiver = table.find(to)?.digest;
    if (receiver?.state === "suspect" || receiver?.state === "dead") {
      digest.push(receiver);
    }
    for (const vmId of rumours.take(settings.digestLimit)) {
      const rumour = this.#findDigest(vmId);
      if (rumour !== undefined && vmId !== to) digest.push(rumour);
    }
    return digest;
  }

  #buildCatchUp(to: VmId, lacking: number): NodeDigest[] {
    const { settings, random, table, self } = this.#parts;
    const { catchUpLeast, catchUpLimit, catchUpPerNode } = settings;
    const wanted = Math.max(catchUpLeast, lacking * catchUpPerNode);
    const others = [...table.list()].map((record) => record.digest);
    const some = random.chooseSome(others, Math.min(wanted, catchUpLimit));
    return [self.getDigest(), ...this.#buildDigest(to), ...some];
  }

  #findDigest(vmId: VmId): NodeDigest | undefined {
    const { self, table } = this.#parts;
    const own = self.getDigest();
    return vmId === own.spec.vmId ? own : table.find(vmId)?.digest;
  }

  /** Reports what is known while the newest revision isn't known of all. */
  #startReport(): ReportField {
    const { settings, random } = this.#parts;
    const census = this.#countRevisions();
    if (census.lacking.length === 0) return {};
    const limit = settings.reportLimit;
    return { report: buildReport(census, { random, limit }) };
  }

  #answerReport(asked: RevisionReport | undefined): ReportField {
    if (asked === undefined) return {};
    const { settings, random } = this.#parts;
    const limit = settings.reportLimit;
    const census = this.#countRevisions();
    return { report: buildAnswer(census, { ...asked, random, limit }) };
  }

  #countRevisions(): RevisionCensus {
    const { self, table } = this.#parts;
    return table.countRevisions(self.getDigest());
  }
}
