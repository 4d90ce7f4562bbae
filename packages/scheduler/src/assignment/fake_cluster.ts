/**
 * Assigners over a fake platform and fake membership views in virtual time,
 * for tests and measurements.
 */
import type {
  MembershipView,
  NodeSpec,
  NodeState,
  NodeView,
  PlatformAnswer,
  PlatformRequest,
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
  /** Chance in a hundred that an answer of the platform is lost. */
  readonly lostAnswers?: number;
  /** Chance in a hundred that a message between nodes is lost. */
  readonly lostMessages?: number;
}

interface FakeNode {
  readonly spec: NodeSpec;
  readonly assigner: ShardAssigner;
  paused: boolean;
}

interface FakeEvent {
  readonly run: () => void;
}

/** A claim that a process owns a shard under an epoch. */
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

/** Runs assigners one millisecond at a time. */
export class FakeCluster {
  readonly platform = new FakePlatform();
  readonly nodes = new Map<VmId, FakeNode>();
  readonly claims: Claim[] = [];
  readonly notices = new Map<VmId, AssignmentNotice[]>();
  readonly #options: FakeClusterOptions;
  readonly #random: RandomChooser;
  readonly #events = new Map<number, FakeEvent[]>();
  readonly #states = new Map<VmId, NodeView>();
  readonly #owners = new Map<ShardId, { owner: VmId; incarnation: number }>();
  /** Called with each platform request. */
  onRequest: (vmId: VmId, request: PlatformRequest) => void = () => {};
  /** Nodes that are cut off from most others. */
  readonly cutOff = new Set<VmId>();
  isPlatformDown = false;
  nowMs = 0;
  messages = 0;
  /** Changes of owner that the platform stored, first ones left out. */
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

  /** Ends a process without a word; the others find out later. */
  stopNode(vmId: VmId): void {
    const node = this.nodes.get(vmId);
    if (node === undefined) return;
    this.nodes.delete(vmId);
    const delayMs = DETECTION_MS +
      this.#random.chooseIndex(DETECTION_SPREAD_MS);
    this.#addWork(delayMs, () => {
      const current = this.#states.get(vmId);
      if (current?.spec.incarnation !== node.spec.incarnation) return;
      this.setState(node.spec, "dead");
    });
  }

  /** Stops a node's loop and holds back what it is sent. */
  setPaused(vmId: VmId, paused: boolean): void {
    const node = this.nodes.get(vmId);
    if (node !== undefined) node.paused = paused;
  }

  /** Sets what the views say of a node; each node learns it on its own time. */
  setState(spec: NodeSpec, state: NodeState): void {
    this.#states.set(spec.vmId, { spec, state, revision: 0 });
    for (const vmId of this.nodes.keys()) {
      const delayMs = this.#random.chooseIndex(DETECTION_SPREAD_MS);
      this.#addWork(delayMs, () => this.#sendView(vmId));
    }
  }

  /** Takes the platform down or up. */
  setPlatformDown(isDown: boolean): void {
    this.isPlatformDown = isDown;
    if (isDown) this.platform.cancelWatches();
  }

  /** Gives one node an input. */
  handle(vmId: VmId, input: AssignmentInput): void {
    const node = this.nodes.get(vmId);
    if (node === undefined) return;
    if (node.paused) {
      this.#addWork(TICK_MS, () => this.handle(vmId, input));
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

  /** Lists what the platform holds. */
  listStored(): StoredShard[] {
    return this.platform.listObjects().flatMap((object) =>
      decodeGroup(object.value)._unsafeUnwrap()
    );
  }

  /** Lists the stored shards whose owner isn't a living process. */
  listOrphans(): StoredShard[] {
    return this.listStored().filter(({ assignment }) => {
      const owner = this.nodes.get(assignment.owner);
      return owner?.spec.incarnation !== assignment.ownerIncarnation;
    });
  }

  #runMillisecond(): void {
    this.nowMs += 1;
    const events = this.#events.get(this.nowMs) ?? [];
    this.#events.delete(this.nowMs);
    for (const event of events) event.run();
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
    this.#addWork(RECOVERY_MS, () => {
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
    if (this.#isUnlucky(this.#options.lostMessages)) return;
    const { to, message } = sent;
    this.#addWork(this.#chooseDelay(PEER_DELAY_MS), () => {
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
    this.#addWork(this.#chooseDelay(PLATFORM_DELAY_MS), () => {
      const fault = this.#chooseFault();
      const receive = (answer: PlatformAnswer): void =>
        this.#addWork(this.#chooseDelay(PLATFORM_DELAY_MS), () => {
          if (this.nodes.get(vmId) !== node) return;
          this.handle(vmId, { kind: "platform", token: effect.token, answer });
        });
      this.platform.receive(effect.request, fault, receive);
      if (effect.request.kind !== "watch") return;
      this.#addWork(WATCH_MS, () => this.platform.endWatch(receive));
    });
  }

  #chooseFault(): PlatformFault {
    if (this.isPlatformDown) return "refused";
    if (!this.#isUnlucky(this.#options.lostAnswers)) return "none";
    return this.#random.chooseIndex(2) === 0 ? "lost_before" : "lost_after";
  }

  #isUnlucky(chance: number | undefined): boolean {
    return chance !== undefined && this.#random.chooseIndex(100) < chance;
  }

  #chooseDelay(leastMs: number): number {
    return leastMs + this.#random.chooseIndex(DELAY_SPREAD_MS);
  }

  #addWork(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(delayMs, 1);
    const events = this.#events.get(atMs) ?? [];
    events.push({ run });
    this.#events.set(atMs, events);
  }

  #countMoves(value: Uint8Array): void {
    for (const { assignment } of decodeGroup(value)._unsafeUnwrap()) {
      const { shard, owner, ownerIncarnation } = assignment;
      const former = this.#owners.get(shard);
      this.#owners.set(shard, { owner, incarnation: ownerIncarnation });
      if (former === undefined) continue;
      const isSame = former.owner === owner &&
        former.incarnation === ownerIncarnation;
      if (!isSame) this.moves += 1;
    }
  }
}
