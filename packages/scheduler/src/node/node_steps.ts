/**
 * Collects the effects and notices of a node's roles, and applies to the other
 * roles what a role's step implies for them.
 */
import { checkNever, type Effect, type LogRecord } from "@camphorlock/types";
import type { AssignmentNotice, AssignmentStep } from "../assignment/mod.ts";
import type { ConfigurationStep } from "../configuration/mod.ts";
import type { MembershipStep } from "../membership/mod.ts";
import type { NodeInput, NodeNotice, NodeStep } from "./node_input.ts";
import type { NodeRoles } from "./node_roles.ts";
import type { NodeOptions } from "./node_settings.ts";
import type { CollectedRows } from "./row_collector.ts";
import type { ShardHostsStep } from "./shard_hosts.ts";

/** Time in which an offered shard must be acquired; otherwise it stays. */
const OFFER_HOLD_MS = 2_000;

/** Accumulates the steps of a node's roles while it handles one input. */
export class NodeSteps {
  nowMs = 0;
  readonly #options: NodeOptions;
  readonly #roles: NodeRoles;
  #queue: NodeInput[] = [];
  #effects: Effect[] = [];
  #notices: NodeNotice[] = [];

  constructor(options: NodeOptions, roles: NodeRoles) {
    this.#options = options;
    this.#roles = roles;
  }

  /** Takes the next message that the node sent to itself. */
  takeQueued(): NodeInput | undefined {
    return this.#queue.shift();
  }

  /** Takes the accumulated effects and notices. */
  takeStep(): NodeStep {
    const step = { effects: this.#effects, notices: this.#notices };
    this.#effects = [];
    this.#notices = [];
    return step;
  }

  /** Applies a step of membership. */
  applyMembership(step: MembershipStep): void {
    this.addEffects(step.effects);
    for (const notice of step.notices) {
      if (notice.kind === "self_superseded") {
        this.#notices.push({ kind: "superseded" });
      }
    }
  }

  /** Applies a step of shard assignment. */
  applyAssignment(step: AssignmentStep): void {
    for (const effect of step.effects) this.#pauseOffered(effect);
    this.addEffects(step.effects);
    for (const notice of step.notices) this.#applyAssignmentNotice(notice);
  }

  /** Starts no new work on an offered shard until the offer expires. */
  #pauseOffered(effect: Effect): void {
    if (effect.kind !== "send_peer") return;
    const { message } = effect;
    if (message.kind !== "handover_offer") return;
    const untilMs = this.nowMs + OFFER_HOLD_MS;
    for (const shard of message.shards) {
      const drain = { kind: "drain", untilMs } as const;
      this.applyHosts(this.#roles.hosts.handle(shard, drain, this.nowMs));
    }
  }

  #applyAssignmentNotice(notice: AssignmentNotice): void {
    switch (notice.kind) {
      case "gained":
      case "keepers_changed":
        return this.applyHosts(
          this.#roles.hosts.add(notice.assignment, this.nowMs),
        );
      case "lost":
        return this.#roles.hosts.remove(notice.shard, notice.epoch);
      case "changed":
        return;
      case "handed_over":
        this.#notices.push(notice);
        return;
      default:
        return checkNever(notice);
    }
  }

  /** Applies a step of the configuration role to the policy and the budgets. */
  applyConfiguration(step: ConfigurationStep): void {
    this.addEffects(step.effects);
    for (const notice of step.notices) {
      this.#notices.push(notice);
      if (notice.kind === "ready" || notice.kind === "cut_off") {
        const isStale = notice.kind === "cut_off";
        this.addEffects(this.#roles.policy.setStale(isStale, this.nowMs));
      }
      if (notice.kind !== "in_force") continue;
      const { value } = notice;
      this.addEffects(this.#roles.policy.applyConfiguration(value, this.nowMs));
      this.addEffects(
        this.#roles.budgets.applyConfiguration(value, this.nowMs),
      );
    }
  }

  /** Applies a step of the hosted shards. */
  applyHosts(step: ShardHostsStep): void {
    this.addEffects(step.effects);
    for (const { shard, epoch } of step.recovered) {
      const input = { kind: "recovered", shard, epoch } as const;
      this.applyAssignment(this.#roles.assigner.handle(input, this.nowMs));
    }
  }

  /** Reports the rows of completed queries. */
  addCollected(completed: readonly CollectedRows[]): void {
    for (const rows of completed) {
      this.#notices.push({ kind: "query_answered", ...rows });
    }
  }

  /** Queues messages to this node itself, and collects all other effects. */
  addEffects(effects: readonly Effect[]): void {
    const self = this.#options.spec.vmId;
    for (const effect of effects) {
      if (effect.kind === "send_peer" && effect.to === self) {
        const { message } = effect;
        this.#queue.push({ kind: "peer", from: self, message });
      } else {
        if (effect.kind === "log") this.#recordDecision(effect.record);
        this.#effects.push(effect);
      }
    }
  }

  #recordDecision(record: LogRecord): void {
    this.#roles.decisions.record(record, this.#options.getWallClockMs());
  }
}
