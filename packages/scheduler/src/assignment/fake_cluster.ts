/**
 * Simulates assigners with a fake platform and membership views in virtual
 * time, for tests and benchmarks.
 */
import type {
  MembershipView,
  NodeSpec,
  NodeState,
  NodeView,
  PlatformRequest,
  PlatformResponse,
  ShardAssignment,
  ShardId,
  VmId,
} from "@camphorlock/types";
import { buildFakeSpec } from "../membership/fake_fleet.ts";
import { RandomChooser } from "../membership/random.ts";
import { FakePlatform, type PlatformFault } from "./fake_platform.ts";
import { decodeGroup } from "./group_codec.ts";
import type {
  AssignmentInput,
  AssignmentNotice,
  StoredShard,
} from "./messages.ts";
import type { AssignmentSettings } from "./settings.ts";
import { ShardAssigner } from "./shard_assigner.ts";

/** The shape of a fake cluster. */
export interface FakeClusterOptions {
  readonly nodes: number;
  readonly failureDomains: number;
  readonly seed: number;
  readonly settings?: Partial<AssignmentSettings>;
  /** Percentage of platform requests or responses that are lost. */
  readonly lostResponsePercent?: number;
  /** Percentage of messages between nodes that are lost. */
  readonly lostMessagePercent?: number;
}

interface FakeNode {
  readonly spec: NodeSpec;
  readonly assigner: ShardAssigner;
  paused: boolean;
}

interface ScheduledWork {
  readonly run: () => void;
}

/** A process's claim to own a shard under an epoch. */
export interface Claim {
  readonly assignment: ShardAssignment;
  readonly vmId: VmId;
  readonly incarnation: number;
}

const TICK_MS = 50;
const PLATFORM_DELAY_MS = 5;
const PEER_DELAY_MS = 1;
const DELAY_SPREAD_MS = 10;
const DETECTION_MS = 2_500;
const DETECTION_SPREAD_MS = 1_000;
const RECOVERY_MS = 100;
const WATCH_MS = 30_000;

/** Runs assigners in steps of one millisecond. */
export class FakeCluster {
  readonly platform = new FakePlatform();
  readonly nodes = new Map<VmId, FakeNode>();
  readonly claims: Claim[] = [];
  readonly notices = new Map<VmId, AssignmentNotice[]>();
  readonly #options: FakeClusterOptions;
  readonly #random: RandomChooser;
  readonly #scheduled = new Map<number, ScheduledWork[]>();
  readonly #states = new Map<VmId, NodeView>();
  readonly #owners = new Map<ShardId, { owner: VmId; incarnation: number }>();
  /** Called with each platform request. */
  onRequest: (vmId: VmId, request: PlatformRequest) => void = () => {};
  /** Nodes that can't reach most others. */
  readonly cutOff = new Set<VmId>();
  isPlatformDown = false;
  nowMs = 0;
  messages = 0;
  /** Stored changes of owner, without the initial assignments. */
  moves = 0;

  constructor(options: FakeClusterOptions) {
    this.#options = options;
    this.#random = new RandomChooser(options.seed);
    this.platform.onStored = (object): void => this.#countMoves(object.value);
    for (let index = 0; index < options.nodes; index += 1) {
      this.startNode(index);
    }
  }

  /** Starts a process on the numbered VM. */
  startNode(index: number, incarnation = 1): void {
    const { failureDomains, settings } = this.#options;
    const spec = buildFakeSpec(index, { failureDomains, incarnation });
    const assigner = new ShardAssigner({
      self: spec,
      ...(settings === undefined ? {} : { settings }),
    });
    this.nodes.set(spec.vmId, { spec, assigner, paused: false });
    this.setState(spec, "alive");
    this.#sendView(spec.vmId);
  }

  /** Kills a process; the other nodes detect its failure later. */
  stopNode(vmId: VmId): void {
    const node = this.nodes.get(vmId);
    if (node === undefined) return;
    this.nodes.delete(vmId);
    const delayMs = DETECTION_MS +
      this.#random.chooseIndex(DETECTION_SPREAD_MS);
    this.#schedule(delayMs, () => {
      const current = this.#states.get(vmId);
      if (current?.spec.incarnation !== node.spec.incarnation) return;
      this.setState(node.spec, "dead");
    });
  }

  /** Pauses a node's ticks and delays its inputs, or resumes them. */
  setPaused(vmId: VmId, paused: boolean): void {
    const node = this.nodes.get(vmId);
    if (node !== undefined) node.paused = paused;
  }

  /** Sets a node's state; each view is updated after a delay of its own. */
  setState(spec: NodeSpec, state: NodeState): void {
    this.#states.set(spec.vmId, { spec, state, revision: 0 });
    for (const vmId of this.nodes.keys()) {
      const delayMs = this.#random.chooseIndex(DETECTION_SPREAD_MS);
      this.#schedule(delayMs, () => this.#sendView(vmId));
    }
  }

  /** Starts or ends a platform outage. */
  setPlatformDown(isDown: boolean): void {
    this.isPlatformDown = isDown;
    if (isDown) this.platform.cancelWatches();
  }

  /** Passes an input to one node. */
  handle(vmId: VmId, input: AssignmentInput): void {
    const node = this.nodes.get(vmId);
    if (node === undefined) return;
    if (node.paused) {
      this.#schedule(TICK_MS, () => this.handle(vmId, input));
      return;
    }
    const { effects, notices } = node.assigner.handle(input, this.nowMs);
    for (const notice of notices) this.#recordNotice(node, notice);
    for (const effect of effects) {
      if (effect.kind === "send_peer") {
        const message = effect.message as Extract<
          AssignmentInput,
          { kind: "peer" }
        >["message"];
        this.#sendPeer(vmId, { to: effect.to, message });
      } else if (effect.kind === "call_platform") {
        this.#callPlatform(node, effect);
      }
    }
  }

  /** Runs until a time. */
  runUntil(untilMs: number): void {
    while (this.nowMs < untilMs) this.#runMillisecond();
  }

  /** Lists the stored shards. */
  listStored(): StoredShard[] {
    return this.platform.listObjects().flatMap((object) =>
      decodeGroup(object.value)._unsafeUnwrap()
    );
  }

  /** Lists the stored shards whose owner isn't a running process. */
  listOrphans(): StoredShard[] {
    return this.listStored().filter(({ assignment }) => {
      const owner = this.nodes.get(assignment.owner);
      return owner?.spec.incarnation !== assignment.ownerIncarnation;
    });
  }

  #runMillisecond(): void {
    this.nowMs += 1;
    const dueWork = this.#scheduled.get(this.nowMs) ?? [];
    this.#scheduled.delete(this.nowMs);
    for (const work of dueWork) work.run();
    let offset = 0;
    for (const [vmId, node] of this.nodes) {
      offset += 1;
      if ((this.nowMs + offset * 7) % TICK_MS !== 0 || node.paused) continue;
      this.handle(vmId, { kind: "tick" });
    }
  }

  #sendView(vmId: VmId): void {
    if (!this.nodes.has(vmId)) return;
    const nodes = [...this.#states.values()];
    const view: MembershipView = { self: vmId, nodes };
    const isCutOff = this.cutOff.has(vmId);
    this.handle(vmId, { kind: "membership", view, isCutOff });
  }

  #recordNotice(node: FakeNode, notice: AssignmentNotice): void {
    const { vmId, incarnation } = node.spec;
    const notices = this.notices.get(vmId) ?? [];
    notices.push(notice);
    this.notices.set(vmId, notices);
    if (notice.kind !== "gained" && notice.kind !== "keepers_changed") return;
    const { assignment } = notice;
    this.claims.push({ assignment, vmId, incarnation });
    const { shard, epoch } = assignment;
    this.#schedule(RECOVERY_MS, () => {
      if (this.nodes.get(vmId) !== node) return;
      this.handle(vmId, { kind: "recovered", shard, epoch });
    });
  }

  #sendPeer(
    from: VmId,
    sent: {
      to: VmId;
      message: Extract<AssignmentInput, { kind: "peer" }>["message"];
    },
  ): void {
    this.messages += 1;
    if (this.#isLost(this.#options.lostMessagePercent)) return;
    const { to, message } = sent;
    this.#schedule(this.#chooseDelay(PEER_DELAY_MS), () => {
      this.handle(to, { kind: "peer", from, message });
    });
  }

  #callPlatform(
    node: FakeNode,
    effect: {
      token: Extract<AssignmentInput, { kind: "platform" }>["token"];
      request: PlatformRequest;
    },
  ): void {
    const { vmId } = node.spec;
    this.onRequest(vmId, effect.request);
    this.#schedule(this.#chooseDelay(PLATFORM_DELAY_MS), () => {
      const fault = this.#chooseFault();
      const receive = (response: PlatformResponse): void =>
        this.#schedule(this.#chooseDelay(PLATFORM_DELAY_MS), () => {
          if (this.nodes.get(vmId) !== node) return;
          this.handle(vmId, {
            kind: "platform",
            token: effect.token,
            answer: response,
          });
        });
      this.platform.receive(effect.request, fault, receive);
      if (effect.request.kind !== "watch") return;
      this.#schedule(WATCH_MS, () => this.platform.endWatch(receive));
    });
  }

  #chooseFault(): PlatformFault {
    if (this.isPlatformDown) return "refused";
    if (!this.#isLost(this.#options.lostResponsePercent)) return "none";
    return this.#random.chooseIndex(2) === 0 ? "lost_before" : "lost_after";
  }

  #isLost(percent: number | undefined): boolean {
    return percent !== undefined && this.#random.chooseIndex(100) < percent;
  }

  #chooseDelay(minMs: number): number {
    return minMs + this.#random.chooseIndex(DELAY_SPREAD_MS);
  }

  #schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(delayMs, 1);
    const scheduled = this.#scheduled.get(atMs) ?? [];
    scheduled.push({ run });
    this.#scheduled.set(atMs, scheduled);
  }

  #countMoves(value: Uint8Array): void {
    for (const { assignment } of decodeGroup(value)._unsafeUnwrap()) {
      const { shard, owner, ownerIncarnation } = assignment;
      const previous = this.#owners.get(shard);
      this.#owners.set(shard, { owner, incarnation: ownerIncarnation });
      if (previous === undefined) continue;
      const isSame = previous.owner === owner &&
        previous.incarnation === ownerIncarnation;
      if (!isSame) this.moves += 1;
    }
  }
}
