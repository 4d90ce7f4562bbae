/**
 * One node: routes inputs to its roles, ticks them, and shuts down gracefully.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type ConfigurationValue,
  type MembershipView,
  type NodeQuery,
  parseShardOf,
  type ProgramView,
  type RequestId,
  type Revision,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { CONFIGURATION_TICK_MS } from "../configuration/mod.ts";
import { MessageRouter } from "./message_router.ts";
import type { NodeInput, NodeStep } from "./node_input.ts";
import { buildRoles, type NodeRoles } from "./node_roles.ts";
import { buildRowSource } from "./row_source.ts";
import type { NodeOptions } from "./node_settings.ts";
import { NodeSteps } from "./node_steps.ts";
import { findAttemptShard } from "./shard_hosts.ts";
import { TimerService } from "./timer_service.ts";

const ROLE_TICK_MS = 50;
const VIEW_TICK_MS = 250;
/** Time for open service attempts to end before a shutdown offers shards. */
const DRAIN_TIMEOUT_MS = 10_000;

/** The state machine of a node. */
export class NodeCore {
  readonly #options: NodeOptions;
  readonly #timers = new TimerService();
  readonly #roles: NodeRoles;
  readonly #steps: NodeSteps;
  readonly #router: MessageRouter;
  /** The VMs in the platform's list, and all that were ever in it. */
  #listed: readonly VmId[] = [];
  readonly #everListed = new Set<VmId>();
  #isStopping = false;
  #stopRequestedAtMs = 0;
  #isOffering = false;

  constructor(options: NodeOptions) {
    this.#options = options;
    this.#roles = buildRoles(options);
    this.#steps = new NodeSteps(options, this.#roles);
    this.#router = new MessageRouter(
      this.#roles,
      this.#steps,
      () => buildRowSource(options, this.#roles, this.#isStopping),
    );
    this.#subscribeTimers();
  }

  /** The highest configuration revision in force on this node. */
  get revision(): Revision {
    return this.#roles.configuration.revision;
  }

  /** The configuration in force on this node. */
  get configuration(): ConfigurationValue {
    return this.#roles.configuration.value;
  }

  /** Gets the configuration that was in force at an earlier revision. */
  getConfigurationAsOf(
    revision: Revision,
  ): Result<ConfigurationValue, Failure> {
    return this.#roles.configuration.getValueAsOf(revision);
  }

  /** Number of caller requests that wait for a response at this node. */
  get openRequests(): number {
    return this.#roles.entry.openCount;
  }

  /** Bytes of other owners' entries that only replicas hold so far. */
  get replicaBytes(): number {
    return this.#roles.replica.bytes;
  }

  /** Gets the nodes as this one observes them. */
  getView(): MembershipView {
    return this.#roles.membership.view();
  }

  /** Finds the peer address of another node. */
  findPeerAddress(vmId: VmId): string | undefined {
    return this.#roles.membership.findPeerAddress(vmId);
  }

  /** Lists the programs of the shards that this node owns. */
  listPrograms(): ProgramView[] {
    return this.#roles.hosts.listPrograms();
  }

  /** Counts the shards that this node hosts and serves. */
  countShards(): { readonly hosted: number; readonly serving: number } {
    return this.#roles.hosts.countShards();
  }

  /** Lists the shards that this node serves. */
  listServing(): ShardId[] {
    return this.#roles.hosts.listServing();
  }

  /** Checks that the node takes new requests; fails with the reason if not. */
  checkReady(nowMs: number): Result<void, Failure> {
    if (this.#isStopping) {
      return err(createFailure("NodeStopping", "stopping; use another node"));
    }
    if (!this.#roles.configuration.isReady) {
      return err(createFailure("NodeNotReady", "no current configuration"));
    }
    if (this.#roles.membership.isCutOff(nowMs)) {
      return err(createFailure("NodeCutOff", "most nodes are unreachable"));
    }
    return ok(undefined);
  }

  /** Handles one input, and the messages that the node sends to itself. */
  handle(input: NodeInput, nowMs: number): NodeStep {
    this.#steps.nowMs = nowMs;
    let next: NodeInput | undefined = input;
    while (next !== undefined) {
      this.#handleInput(next);
      next = this.#steps.takeQueued();
    }
    return this.#steps.takeStep();
  }

  #subscribeTimers(): void {
    const tick = { kind: "tick" } as const;
    this.#timers.subscribe(ROLE_TICK_MS, (nowMs) => {
      this.#steps.applyMembership(this.#roles.membership.handle(tick, nowMs));
      const busy = this.#roles.hosts.listBusy();
      this.#roles.assigner.handle({ kind: "busy", shards: busy }, nowMs);
      this.#steps.applyAssignment(this.#roles.assigner.handle(tick, nowMs));
      this.#steps.applyHosts(this.#roles.hosts.handleAll(tick, nowMs));
      this.#steps.addEffects(this.#roles.policy.handleTick(nowMs));
      this.#steps.addEffects(this.#roles.budgets.handleTick(nowMs));
      this.#checkShutdown(nowMs);
      this.#steps.addCollected(this.#roles.queries.handleTick(nowMs));
      this.#steps.addEffects(this.#roles.entry.handle(tick, nowMs));
    });
    this.#timers.subscribe(CONFIGURATION_TICK_MS, (nowMs) => {
      this.#steps.applyConfiguration(
        this.#roles.configuration.handle(tick, nowMs),
      );
    });
    this.#timers.subscribe(VIEW_TICK_MS, (nowMs) => this.#sendView(nowMs));
  }

  /** Passes the current view of the nodes to the roles. */
  #sendView(nowMs: number): void {
    const view = this.#roles.membership.view();
    const isCutOff = this.#roles.membership.isCutOff(nowMs);
    const { revision } = this.#roles.configuration;
    this.#steps.addEffects(this.#roles.budgets.applyView(view, nowMs));
    this.#steps.applyAssignment(
      this.#roles.assigner.handle(
        { kind: "membership", view, isCutOff },
        nowMs,
      ),
    );
    this.#steps.applyConfiguration(
      this.#roles.configuration.handle(
        { kind: "members", view, isCutOff, listed: this.#listed },
        nowMs,
      ),
    );
    this.#steps.applyMembership(
      this.#roles.membership.handle({ kind: "revision", revision }, nowMs),
    );
  }

  #handleInput(input: NodeInput): void {
    switch (input.kind) {
      case "caller_request":
      case "caller_gone":
        return this.#steps.addEffects(
          this.#roles.entry.handle(input, this.#steps.nowMs),
        );
      case "peer":
        return this.#router.handle(input.from, input.message);
      case "platform":
        return this.#handlePlatform(input);
      case "attempt": {
        const shard = findAttemptShard(input.attemptId);
        return this.#steps.applyHosts(
          this.#roles.hosts.handle(shard, input, this.#steps.nowMs),
        );
      }
      case "order_result": {
        const shard = parseShardOf(input.programId);
        return this.#steps.applyHosts(
          this.#roles.hosts.handle(shard, input, this.#steps.nowMs),
        );
      }
      case "change":
        return this.#steps.applyConfiguration(
          this.#roles.configuration.handle(input, this.#steps.nowMs),
        );
      case "query":
        return this.#startQuery(input.requestId, input.query);
      case "vm_list":
        this.#updateListed(input.vms.map((vm) => vm.vmId));
        return this.#steps.applyMembership(
          this.#roles.membership.handle(input, this.#steps.nowMs),
        );
      case "tick":
        return this.#timers.runDue(this.#steps.nowMs);
      case "stop":
        return this.#startShutdown();
      default:
        return checkNever(input);
    }
  }

  /** Notifies the shards of VMs that left the list, which never return. */
  #updateListed(listed: readonly VmId[]): void {
    this.#listed = listed;
    for (const vmId of listed) this.#everListed.add(vmId);
    const vmIds = [...this.#everListed]
      .filter((vmId) => !listed.includes(vmId));
    if (vmIds.length === 0) return;
    const removed = { kind: "vms_gone", vmIds } as const;
    this.#steps.applyHosts(
      this.#roles.hosts.handleAll(removed, this.#steps.nowMs),
    );
  }

  #startShutdown(): void {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#stopRequestedAtMs = this.#steps.nowMs;
    this.#steps.applyMembership(
      this.#roles.membership.startLeaving(this.#steps.nowMs),
    );
    this.#steps.applyHosts(
      this.#roles.hosts.handleAll(
        { kind: "drain", untilMs: Infinity },
        this.#steps.nowMs,
      ),
    );
  }

  /** Offers the shards once no service attempt is open, or after the limit. */
  #checkShutdown(nowMs: number): void {
    if (!this.#isStopping || this.#isOffering) return;
    const isLate = nowMs - this.#stopRequestedAtMs >= DRAIN_TIMEOUT_MS;
    if (this.#roles.hosts.countServiceAttempts() > 0 && !isLate) return;
    this.#isOffering = true;
    this.#steps.addEffects(this.#roles.budgets.stop(nowMs));
    this.#steps.applyHosts(this.#roles.hosts.closeAll(nowMs));
    this.#steps.applyAssignment(
      this.#roles.assigner.handle({ kind: "leave" }, nowMs),
    );
  }

  #handlePlatform(input: Extract<NodeInput, { kind: "platform" }>): void {
    const { role, shard } = input.token;
    switch (role) {
      case "ledger":
      case "recovery":
      case "charge":
        return this.#steps.applyHosts(
          this.#roles.hosts.handle(shard, input, this.#steps.nowMs),
        );
      case "assignment":
        return this.#steps.applyAssignment(
          this.#roles.assigner.handle(input, this.#steps.nowMs),
        );
      case "configuration":
        return this.#steps.applyConfiguration(
          this.#roles.configuration.handle(input, this.#steps.nowMs),
        );
      case "budget": {
        const { token, answer } = input;
        return this.#steps.addEffects(
          this.#roles.budgets.handleResponse(token, answer, this.#steps.nowMs),
        );
      }
      default:
        return checkNever(role);
    }
  }

  #startQuery(requestId: RequestId, query: NodeQuery): void {
    const vmIds = this.#roles.membership.view().nodes
      .filter((node) => node.state !== "dead")
      .map((node) => node.spec.vmId);
    const scope = { vmIds, nowMs: this.#steps.nowMs };
    this.#steps.addEffects(this.#roles.queries.start(requestId, query, scope));
  }
}
