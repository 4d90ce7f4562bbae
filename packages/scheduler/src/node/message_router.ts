/**
 * Routes peer messages, including this node's messages to itself, to the roles.
 */
import {
  checkNever,
  type ConfigurationMessage,
  type DispatchMessage,
  type MembershipMessage,
  type OperatorMessage,
  type OwnerMessage,
  type PeerMessage,
  type ReplicaMessage,
  type VmId,
} from "@camphorlock/types";
import { listNodeRows, type NodeRowSource } from "./node_rows.ts";
import type { NodeRoles } from "./node_roles.ts";
import type { NodeSteps } from "./node_steps.ts";
import { findAttemptShard } from "./shard_hosts.ts";

/** Routes peer messages to the roles of a node. */
export class MessageRouter {
  readonly #roles: NodeRoles;
  readonly #steps: NodeSteps;
  readonly #buildRowSource: () => NodeRowSource;

  constructor(
    roles: NodeRoles,
    steps: NodeSteps,
    buildRowSource: () => NodeRowSource,
  ) {
    this.#roles = roles;
    this.#steps = steps;
    this.#buildRowSource = buildRowSource;
  }

  /** Handles one message. */
  handle(from: VmId, message: PeerMessage): void {
    switch (message.kind) {
      case "owner_request":
      case "owner_answer":
      case "not_owner":
      case "caller_gone":
        return this.#handleOwnerMessage(from, message);
      case "keep_entries":
      case "entries_kept":
      case "keep_refused":
      case "seal_keeper":
      case "keeper_sealed":
        return this.#handleReplicaMessage(from, message);
      case "slot_request":
      case "slot_granted":
      case "slot_refused":
      case "slot_renewed":
      case "slot_released":
      case "target_loads":
        return this.#handleDispatchMessage(from, message);
      case "heartbeat":
      case "heartbeat_ack":
      case "probe_request":
      case "probe_result":
      case "assignment_news":
      case "handover_offer":
        return this.#handleMembershipMessage(from, message);
      case "configuration_request":
      case "configuration_offer":
        return this.#handleConfigurationMessage(from, message);
      case "rows_request":
      case "rows_answer":
        return this.#handleOperatorMessage(from, message);
      default:
        return checkNever(message);
    }
  }

  #handleOwnerMessage(from: VmId, message: OwnerMessage): void {
    switch (message.kind) {
      case "owner_request":
        return this.#steps.applyHosts(
          this.#roles.hosts.handleRequest(from, message, this.#steps.nowMs),
        );
      case "caller_gone":
        return this.#steps.applyHosts(
          this.#roles.hosts.handleAll(
            { kind: "request", from, message },
            this.#steps.nowMs,
          ),
        );
      case "owner_answer":
      case "not_owner":
        return this.#steps.addEffects(
          this.#roles.entry.handle(
            { kind: "peer", from, message },
            this.#steps.nowMs,
          ),
        );
      default:
        return checkNever(message);
    }
  }

  #handleReplicaMessage(from: VmId, message: ReplicaMessage): void {
    const { shard } = message;
    switch (message.kind) {
      case "keep_entries":
      case "seal_keeper":
        return this.#steps.addEffects(
          this.#roles.replica.handle(from, message),
        );
      case "entries_kept":
      case "keep_refused":
      case "keeper_sealed": {
        const input = { kind: "keeper", from, message } as const;
        return this.#steps.applyHosts(
          this.#roles.hosts.handle(shard, input, this.#steps.nowMs),
        );
      }
      default:
        return checkNever(message);
    }
  }

  #handleDispatchMessage(from: VmId, message: DispatchMessage): void {
    switch (message.kind) {
      case "slot_granted":
      case "slot_refused": {
        this.#roles.policy.handlePeer(from, message, this.#steps.nowMs);
        const shard = findAttemptShard(message.attemptId);
        const input = { kind: "slot", message } as const;
        return this.#steps.applyHosts(
          this.#roles.hosts.handle(shard, input, this.#steps.nowMs),
        );
      }
      case "slot_request":
      case "slot_renewed":
      case "slot_released":
      case "target_loads":
        return this.#steps.addEffects(
          this.#roles.policy.handlePeer(from, message, this.#steps.nowMs),
        );
      default:
        return checkNever(message);
    }
  }

  #handleMembershipMessage(from: VmId, message: MembershipMessage): void {
    const input = { kind: "peer", from, message } as const;
    this.#steps.applyMembership(
      this.#roles.membership.handle(input, this.#steps.nowMs),
    );
    this.#steps.applyAssignment(
      this.#roles.assigner.handle(input, this.#steps.nowMs),
    );
    if (message.kind !== "heartbeat" && message.kind !== "heartbeat_ack") {
      return;
    }
    const { revision } = message;
    const observed = { kind: "peer_revision", vmId: from, revision } as const;
    this.#steps.applyConfiguration(
      this.#roles.configuration.handle(observed, this.#steps.nowMs),
    );
  }

  #handleConfigurationMessage(
    from: VmId,
    message: ConfigurationMessage,
  ): void {
    const input = { kind: "peer", from, message } as const;
    this.#steps.applyConfiguration(
      this.#roles.configuration.handle(input, this.#steps.nowMs),
    );
  }

  #handleOperatorMessage(from: VmId, message: OperatorMessage): void {
    if (message.kind === "rows_answer") {
      return this.#steps.addCollected(this.#roles.queries.add(from, message));
    }
    const { requestId, query } = message;
    const rows = listNodeRows(this.#buildRowSource(), query);
    const response = { kind: "rows_answer", requestId, rows } as const;
    this.#steps.addEffects([{
      kind: "send_peer",
      to: from,
      message: response,
    }]);
  }
}
