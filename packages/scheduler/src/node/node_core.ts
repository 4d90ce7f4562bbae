/**
 * One node: builds its roles and passes each input to the role that it's for.
 *
 * Effects that are addressed to the node itself are handled at once; the others
 * go to the edges. Like its roles, a node is deterministic.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type ConfigurationMessage,
  type ConfigurationValue,
  type DispatchMessage,
  type Effect,
  type FailureDomain,
  type KeeperMessage,
  type LogRecord,
  type MembershipMessage,
  type MembershipView,
  type NodeQuery,
  type OperatorMessage,
  type OwnerMessage,
  parseShardOf,
  type PeerMessage,
  type ProgramView,
  type RequestId,
  type Revision,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import {
  type AssignmentNotice,
  type AssignmentStep,
  ShardAssigner,
} from "../assignment/mod.ts";
import {
  Configuration,
  CONFIGURATION_TICK_MS,
  type ConfigurationStep,
} from "../configuration/mod.ts";
import { Entry } from "../entry/mod.ts";
import { Keeper, WritePacer } from "../ledger/mod.ts";
import { Membership, type MembershipStep } from "../membership/mod.ts";
import type { NodeInput, NodeNotice, NodeStep } from "./node_input.ts";
import type { NodeOptions } from "./node_settings.ts";
import { DecisionBook } from "./decision_book.ts";
import { listNodeRows, type NodeRowSource } from "./node_rows.ts";
import { type CollectedRows, RowCollector } from "./row_collector.ts";
import { SharedBudgets } from "./shared_budgets.ts";
import { NodePolicy } from "./node_policy.ts";
import {
  findAttemptShard,
  ShardHosts,
  type ShardHostsStep,
} from "./shard_hosts.ts";
import { TimerService } from "./timer_service.ts";

const ROLE_TICK_MS = 50;
const VIEW_TICK_MS = 250;
/** Wait for open service attempts before a stopping node gives shards away. */
const DRAIN_LIMIT_MS = 10_000;

/** The state machine of a node. */
export class NodeCore {
  readonly #options: NodeOptions;
  readonly #timers = new TimerService();
  readonly #membership: Membership;
  readonly #assigner: ShardAssigner;
  readonly #configuration: Configuration;
  readonly #policy: NodePolicy;
  readonly #budgets: SharedBudgets;
  readonly #keeper: Keeper;
  readonly #hosts: ShardHosts;
  readonly #entry: Entry;
  #queue: NodeInput[] = [];
  readonly #decisions: DecisionBook;
  readonly #collector = new RowCollector();
  #effects: Effect[] = [];
  #notices: NodeNotice[] = [];
  #nowMs = 0;
  /** The VMs that the platform's list names. */
  #listed: readonly VmId[] = [];
  #isStopping = false;
  #stoppedAtMs = 0;
  #isOffering = false;

  constructor(options: NodeOptions) {
    const { spec, limits, seed, initial } = options;
    const self = spec.vmId;
    this.#options = options;
    this.#membership = new Membership({
      self: spec,
      seed,
      settings: limits.membership,
    });
    this.#assigner = new ShardAssigner({
      self: spec,
      settings: limits.assignment,
    });
    this.#configuration = new Configuration({
      self,
      incarnation: spec.incarnation,
      region: spec.region,
      ...(initial === undefined ? {} : { initial }),
    });
    this.#policy = new NodePolicy({
      spec,
      seed,
      getValue: () => this.#configuration.value,
      getView: () => this.#membership.view(),
    });
    this.#budgets = new SharedBudgets(spec);
    this.#decisions = new DecisionBook(self);
    this.#keeper = new Keeper({
      incarnation: spec.incarnation,
      maxBytes: limits.keeperBytes,
      messageBytes: limits.ledger.messageBytes,
    });
    this.#hosts = this.#createHosts();
    this.#entry = new Entry({
      self,
      limits: limits.entry,
      findOwner: (shard) => this.#assigner.view().ownerOf(shard),
    });
    this.#subscribeTimers();
  }

  /** The highest configuration revision in force on this node. */
  get revision(): Revision {
    return this.#configuration.revision;
  }

  /** The configuration in force on this node. */
  get configuration(): ConfigurationValue {
    return this.#configuration.value;
  }

  /** Gets the configuration that was in force at an earlier revision. */
  getConfigurationAsOf(
    revision: Revision,
  ): Result<ConfigurationValue, Failure> {
    return this.#configuration.getValueAsOf(revision);
  }

  /** Requests of callers that wait for their answers at this node. */
  get openRequests(): number {
    return this.#entry.openCount;
  }

  /** The nodes as this one sees them. */
  getView(): MembershipView {
    return this.#membership.view();
  }

  /** Finds the address of another node. */
  findPeerAddress(vmId: VmId): string | undefined {
    return this.#membership.findPeerAddress(vmId);
  }

  /** Lists the programs of the shards that this node owns. */
  listPrograms(): ProgramView[] {
    return this.#hosts.listPrograms();
  }

  /** Counts the shards that this node hosts and serves. */
  countShards(): { readonly hosted: number; readonly serving: number } {
    return this.#hosts.countShards();
  }

  /** Lists the shards that this node serves. */
  listServing(): ShardId[] {
    return this.#hosts.listServing();
  }

  /** Whether the node takes new requests, or why not. */
  checkReady(nowMs: number): Result<void, Failure> {
    if (this.#isStopping) {
      return err(createFailure("NodeStopping", "use another node"));
    }
    if (!this.#configuration.isReady) {
      return err(createFailure("NodeNotReady", "the configuration is awaited"));
    }
    if (this.#membership.isCutOff(nowMs)) {
      return err(createFailure("NodeCutOff", "most nodes can't be reached"));
    }
    return ok(undefined);
  }

  /** Handles one input and what it leads to within the node. */
  handle(input: NodeInput, nowMs: number): NodeStep {
    this.#nowMs = nowMs;
    this.#queue.push(input);
    for (let at = 0; at < this.#queue.length; at++) {
      const next = this.#queue[at];
      if (next !== undefined) this.#handleInput(next);
    }
    this.#queue = [];
    const step = { effects: this.#effects, notices: this.#notices };
    this.#effects = [];
    this.#notices = [];
    return step;
  }

  #createHosts(): ShardHosts {
    const { spec, limits, getWallClockMs } = this.#options;
    return new ShardHosts({
      self: spec.vmId,
      placer: this.#policy,
      budgets: this.#budgets,
      retries: this.#policy.retries,
      getConfiguration: () => ({
        revision: this.#configuration.revision,
        value: this.#configuration.value,
      }),
      getWallClockMs,
      failureDomainOf: (vmId) => this.#findDomain(vmId),
      ownerLimits: limits.owner,
      ledgerLimits: limits.ledger,
      pacer: new WritePacer({ writesPerSecond: limits.writesPerSecond }),
      exposeAfterMs: limits.exposeAfterMs,
    });
  }

  #findDomain(vmId: VmId): FailureDomain {
    const node = this.#membership.view().nodes
      .find((each) => each.spec.vmId === vmId);
    return node?.spec.failureDomain ?? "";
  }

  #subscribeTimers(): void {
    const tick = { kind: "tick" } as const;
    this.#timers.subscribe(ROLE_TICK_MS, (nowMs) => {
      this.#applyMembership(this.#membership.handle(tick, nowMs));
      this.#applyAssignment(this.#assigner.handle(tick, nowMs));
      this.#applyHosts(this.#hosts.handleAll(tick, nowMs));
      this.#addEffects(this.#policy.handleTick(nowMs));
      this.#addEffects(this.#budgets.handleTick(nowMs));
      this.#checkStop(nowMs);
      this.#addCollected(this.#collector.handleTick(nowMs));
      this.#addEffects(this.#entry.handle(tick, nowMs));
    });
    this.#timers.subscribe(CONFIGURATION_TICK_MS, (nowMs) => {
      this.#applyConfiguration(this.#configuration.handle(tick, nowMs));
    });
    this.#timers.subscribe(VIEW_TICK_MS, (nowMs) => this.#spreadView(nowMs));
  }

  /** Tells the roles how this node sees the others. */
  #spreadView(nowMs: number): void {
    const view = this.#membership.view();
    const isCutOff = this.#membership.isCutOff(nowMs);
    const { revision } = this.#configuration;
    this.#addEffects(this.#budgets.applyView(view, nowMs));
    this.#applyAssignment(
      this.#assigner.handle({ kind: "membership", view, isCutOff }, nowMs),
    );
    this.#applyConfiguration(
      this.#configuration.handle(
        { kind: "members", view, isCutOff, listed: this.#listed },
        nowMs,
      ),
    );
    this.#applyMembership(
      this.#membership.handle({ kind: "revision", revision }, nowMs),
    );
  }

  #handleInput(input: NodeInput): void {
    switch (input.kind) {
      case "caller_request":
      case "caller_gone":
        return this.#addEffects(this.#entry.handle(input, this.#nowMs));
      case "peer":
        return this.#handlePeer(input.from, input.message);
      case "platform":
        return this.#handlePlatform(input);
      case "attempt": {
        const shard = findAttemptShard(input.attemptId);
        return this.#applyHosts(this.#hosts.handle(shard, input, this.#nowMs));
      }
      case "order_result": {
        const shard = parseShardOf(input.programId);
        return this.#applyHosts(this.#hosts.handle(shard, input, this.#nowMs));
      }
      case "change":
        return this.#applyConfiguration(
          this.#configuration.handle(input, this.#nowMs),
        );
      case "query":
        return this.#startQuery(input.requestId, input.query);
      case "vm_list":
        this.#listed = input.vms.map((vm) => vm.vmId);
        return this.#applyMembership(
          this.#membership.handle(input, this.#nowMs),
        );
      case "tick":
        return this.#timers.runDue(this.#nowMs);
      case "stop":
        return this.#startStop();
      default:
        return checkNever(input);
    }
  }

  #startStop(): void {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#stoppedAtMs = this.#nowMs;
    this.#applyMembership(this.#membership.announceLeaving(this.#nowMs));
    this.#applyHosts(this.#hosts.handleAll({ kind: "drain" }, this.#nowMs));
  }

  /** Offers the shards once no service attempt is open, or the time is up. */
  #checkStop(nowMs: number): void {
    if (!this.#isStopping || this.#isOffering) return;
    const isLate = nowMs - this.#stoppedAtMs >= DRAIN_LIMIT_MS;
    if (this.#hosts.countServiceAttempts() > 0 && !isLate) return;
    this.#isOffering = true;
    this.#addEffects(this.#budgets.stop(nowMs));
    this.#applyAssignment(this.#assigner.handle({ kind: "leave" }, nowMs));
  }

  #handlePlatform(input: Extract<NodeInput, { kind: "platform" }>): void {
    const { role, shard } = input.token;
    switch (role) {
      case "ledger":
      case "recovery":
      case "charge":
        return this.#applyHosts(this.#hosts.handle(shard, input, this.#nowMs));
      case "assignment":
        return this.#applyAssignment(
          this.#assigner.handle(input, this.#nowMs),
        );
      case "configuration":
        return this.#applyConfiguration(
          this.#configuration.handle(input, this.#nowMs),
        );
      case "budget": {
        const { token, answer } = input;
        return this.#addEffects(
          this.#budgets.handleAnswer(token, answer, this.#nowMs),
        );
      }
      default:
        return checkNever(role);
    }
  }

  #handlePeer(from: VmId, message: PeerMessage): void {
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
        return this.#handleKeeperMessage(from, message);
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
        return this.#applyHosts(
          this.#hosts.handleRequest(from, message, this.#nowMs),
        );
      case "caller_gone":
        return this.#applyHosts(
          this.#hosts.handleAll(
            { kind: "request", from, message },
            this.#nowMs,
          ),
        );
      case "owner_answer":
      case "not_owner":
        return this.#addEffects(
          this.#entry.handle({ kind: "peer", from, message }, this.#nowMs),
        );
      default:
        return checkNever(message);
    }
  }

  #handleKeeperMessage(from: VmId, message: KeeperMessage): void {
    const { shard } = message;
    switch (message.kind) {
      case "keep_entries":
      case "seal_keeper":
        return this.#addEffects(this.#keeper.handle(from, message));
      case "entries_kept":
      case "keep_refused":
      case "keeper_sealed": {
        const input = { kind: "keeper", from, message } as const;
        return this.#applyHosts(this.#hosts.handle(shard, input, this.#nowMs));
      }
      default:
        return checkNever(message);
    }
  }

  #handleDispatchMessage(from: VmId, message: DispatchMessage): void {
    switch (message.kind) {
      case "slot_granted":
      case "slot_refused": {
        this.#policy.handlePeer(from, message, this.#nowMs);
        const shard = findAttemptShard(message.attemptId);
        const input = { kind: "slot", message } as const;
        return this.#applyHosts(this.#hosts.handle(shard, input, this.#nowMs));
      }
      case "slot_request":
      case "slot_renewed":
      case "slot_released":
      case "target_loads":
        return this.#addEffects(
          this.#policy.handlePeer(from, message, this.#nowMs),
        );
      default:
        return checkNever(message);
    }
  }

  #handleMembershipMessage(from: VmId, message: MembershipMessage): void {
    const input = { kind: "peer", from, message } as const;
    this.#applyMembership(this.#membership.handle(input, this.#nowMs));
    this.#applyAssignment(this.#assigner.handle(input, this.#nowMs));
    if (message.kind !== "heartbeat" && message.kind !== "heartbeat_ack") {
      return;
    }
    const { revision } = message;
    const seen = { kind: "peer_revision", vmId: from, revision } as const;
    this.#applyConfiguration(this.#configuration.handle(seen, this.#nowMs));
  }

  #handleConfigurationMessage(
    from: VmId,
    message: ConfigurationMessage,
  ): void {
    const input = { kind: "peer", from, message } as const;
    this.#applyConfiguration(this.#configuration.handle(input, this.#nowMs));
  }

  #startQuery(requestId: RequestId, query: NodeQuery): void {
    const vmIds = this.#membership.view().nodes
      .filter((node) => node.state !== "dead")
      .map((node) => node.spec.vmId);
    const ask = { vmIds, nowMs: this.#nowMs };
    this.#addEffects(this.#collector.start(requestId, query, ask));
  }

  #handleOperatorMessage(from: VmId, message: OperatorMessage): void {
    if (message.kind === "rows_answer") {
      return this.#addCollected(this.#collector.add(from, message));
    }
    const { requestId, query } = message;
    const rows = listNodeRows(this.#buildRowSource(), query);
    const answer = { kind: "rows_answer", requestId, rows } as const;
    this.#addEffects([{ kind: "send_peer", to: from, message: answer }]);
  }

  #buildRowSource(): NodeRowSource {
    const { spec } = this.#options;
    const view = this.#assigner.view();
    return {
      self: spec.vmId,
      region: spec.region,
      failureDomain: spec.failureDomain,
      revision: this.#configuration.revision,
      isReady: this.#configuration.isReady,
      isStopping: this.#isStopping,
      programs: this.#hosts.listPrograms(),
      assignments: view.listOwned()
        .flatMap((shard) => view.ownerOf(shard) ?? []),
      decisions: this.#decisions,
    };
  }

  #addCollected(answered: readonly CollectedRows[]): void {
    for (const rows of answered) {
      this.#notices.push({ kind: "query_answered", ...rows });
    }
  }

  #applyMembership(step: MembershipStep): void {
    this.#addEffects(step.effects);
    for (const notice of step.notices) {
      if (notice.kind === "self_superseded") {
        this.#notices.push({ kind: "superseded" });
      }
    }
  }

  #applyAssignment(step: AssignmentStep): void {
    this.#addEffects(step.effects);
    for (const notice of step.notices) this.#applyAssignmentNotice(notice);
  }

  #applyAssignmentNotice(notice: AssignmentNotice): void {
    switch (notice.kind) {
      case "gained":
      case "keepers_changed":
        return this.#applyHosts(
          this.#hosts.add(notice.assignment, this.#nowMs),
        );
      case "lost":
        return this.#hosts.remove(notice.shard, notice.epoch);
      case "changed":
        return;
      case "handed_over":
        this.#notices.push(notice);
        return;
      default:
        return checkNever(notice);
    }
  }

  #applyConfiguration(step: ConfigurationStep): void {
    this.#addEffects(step.effects);
    for (const notice of step.notices) {
      this.#notices.push(notice);
      if (notice.kind === "ready" || notice.kind === "cut_off") {
        const isStale = notice.kind === "cut_off";
        this.#addEffects(this.#policy.setStale(isStale, this.#nowMs));
      }
      if (notice.kind !== "in_force") continue;
      const { value } = notice;
      this.#addEffects(this.#policy.applyConfiguration(value, this.#nowMs));
      this.#addEffects(this.#budgets.applyConfiguration(value, this.#nowMs));
    }
  }

  #applyHosts(step: ShardHostsStep): void {
    this.#addEffects(step.effects);
    for (const { shard, epoch } of step.recovered) {
      const input = { kind: "recovered", shard, epoch } as const;
      this.#applyAssignment(this.#assigner.handle(input, this.#nowMs));
    }
  }

  #recordDecision(record: LogRecord): void {
    this.#decisions.record(record, this.#options.getWallClockMs());
  }

  /** Queues what the node sends to itself, and keeps the rest for the edges. */
  #addEffects(effects: readonly Effect[]): void {
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
}
