/**
 * One node under virtual time: its decisions, and edges that can be paused,
 * killed and started again.
 */
import {
  DEFAULT_NODE_LIMITS,
  NodeCore,
  type NodeInput,
  type NodeNotice,
  type NodeOptions,
} from "@camphorlock/scheduler";
import {
  type AttemptEvent,
  type AttemptId,
  checkNever,
  type Effect,
  type LogRecord,
  type NodeSpec,
  type PlatformAnswer,
  type PlatformRequest,
  type PlatformToken,
} from "@camphorlock/types";
import type { FaultyStore } from "../platform/faulty_store.ts";
import type { VirtualClock } from "./virtual_clock.ts";
import type { VirtualNetwork } from "./virtual_network.ts";
import type { VirtualTargets } from "./virtual_targets.ts";

const TICK_MS = 50;
const PLATFORM_MS = 3;
const PLATFORM_TIMEOUT_MS = 3_000;
const WATCH_WAIT_MS = 15_000;

/** What virtual nodes share. */
export interface VirtualWorld {
  readonly clock: VirtualClock;
  readonly network: VirtualNetwork;
  readonly targets: VirtualTargets;
  readonly platform: FaultyStore;
}

/** What a node tells the test. */
export interface VirtualNodeHooks {
  onAnswer(effect: Extract<Effect, { kind: "answer_caller" }>): void;
  onNotice(notice: NodeNotice): void;
  onLog(record: LogRecord): void;
}

/** What a virtual node is made of. */
export interface VirtualNodeOptions {
  readonly spec: NodeSpec;
  readonly seed: number;
  readonly limits?: Partial<NodeOptions["limits"]>;
  readonly initial?: NodeOptions["initial"];
}

/** A running, paused or ended node. */
export class VirtualNode {
  readonly spec: NodeSpec;
  readonly #world: VirtualWorld;
  readonly #hooks: VirtualNodeHooks;
  readonly #core: NodeCore;
  #waiting: NodeInput[] = [];
  /** The attempts that this process follows, with their text so far. */
  readonly #followed = new Map<AttemptId, string>();
  #isPaused = false;
  #isEnded = false;
  #isHandedOver = false;

  constructor(
    options: VirtualNodeOptions,
    world: VirtualWorld,
    hooks: VirtualNodeHooks,
  ) {
    const { spec, seed, limits, initial } = options;
    this.spec = spec;
    this.#world = world;
    this.#hooks = hooks;
    this.#core = new NodeCore({
      spec,
      seed,
      limits: { ...DEFAULT_NODE_LIMITS, ...limits },
      getWallClockMs: () => world.clock.nowMs,
      ...(initial === undefined ? {} : { initial }),
    });
    world.network.connect(spec, (from, message) => {
      this.handle({ kind: "peer", from, message });
    });
    this.#startTicks();
  }

  /** The decisions of the node. */
  get core(): NodeCore {
    return this.#core;
  }

  /** Whether a planned stop has nothing left to wait for. */
  get isDrained(): boolean {
    return this.#isHandedOver && this.#core.openRequests === 0;
  }

  /** Whether the process has ended. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Handles an input, now or when the pause ends. */
  handle(input: NodeInput): void {
    if (this.#isEnded) return;
    if (this.#isPaused) {
      this.#waiting.push(input);
      return;
    }
    const step = this.#core.handle(input, this.#world.clock.nowMs);
    for (const effect of step.effects) this.#runEffect(effect);
    for (const notice of step.notices) {
      if (notice.kind === "handed_over") this.#isHandedOver = true;
      this.#hooks.onNotice(notice);
    }
  }

  /** Stops the process without its knowledge, as SIGSTOP does. */
  stopTime(): void {
    this.#isPaused = true;
  }

  /** Lets a paused process go on; it handles what arrived meanwhile. */
  resumeTime(): void {
    this.#isPaused = false;
    for (const input of this.#waiting.splice(0)) this.handle(input);
  }

  /** Ends the process at once; its memory is gone. */
  end(): void {
    this.#isEnded = true;
    this.#world.network.remove(this.spec.vmId);
  }

  #startTicks(): void {
    this.#world.clock.add(TICK_MS, () => {
      if (this.#isEnded) return;
      if (!this.#isPaused) this.handle({ kind: "tick" });
      this.#startTicks();
    });
  }

  #runEffect(effect: Effect): void {
    const { network, targets } = this.#world;
    switch (effect.kind) {
      case "send_peer":
        return network.send(this.spec.vmId, effect.to, effect.message);
      case "call_platform":
        return this.#runPlatformCall(effect.token, effect.request);
      case "answer_caller":
        return this.#hooks.onAnswer(effect);
      case "start_attempt":
      case "resume_attempt":
        return this.#runAttempt(effect);
      case "cancel_attempt":
        this.#followed.delete(effect.attemptId);
        return targets.cancel(effect.attemptId);
      case "order_target":
        return this.#runOrder(effect);
      case "log":
        return this.#hooks.onLog(effect.record);
      default:
        return checkNever(effect);
    }
  }

  /** An attempt that this process follows already is only replayed. */
  #runAttempt(
    effect: Extract<Effect, { kind: "start_attempt" | "resume_attempt" }>,
  ): void {
    const { order, kind } = effect;
    const { attemptId } = order;
    const followed = this.#followed.get(attemptId);
    if (kind === "resume_attempt" && followed !== undefined) {
      return this.#sendFollowed(attemptId, followed);
    }
    this.#followed.set(attemptId, order.prefixText);
    const report = (event: AttemptEvent): void =>
      this.#handleAttempt(attemptId, event);
    if (kind === "start_attempt") this.#world.targets.start(order, report);
    else this.#world.targets.resume(order, report);
  }

  #sendFollowed(attemptId: AttemptId, text: string): void {
    if (text === "") return;
    const event = { kind: "text", offset: 0, text, tokens: 0 } as const;
    this.#world.clock.add(0, () => {
      this.handle({ kind: "attempt", attemptId, event });
    });
  }

  #handleAttempt(attemptId: AttemptId, event: AttemptEvent): void {
    const text = this.#followed.get(attemptId);
    if (text === undefined) return;
    if (event.kind === "text") {
      this.#followed.set(attemptId, text.slice(0, event.offset) + event.text);
    } else {
      this.#followed.delete(attemptId);
    }
    this.handle({ kind: "attempt", attemptId, event });
  }

  #runOrder(effect: Extract<Effect, { kind: "order_target" }>): void {
    const { targetId, number, order } = effect;
    if (order.kind !== "release") return;
    const { programId } = order;
    this.#world.targets.release(targetId, programId, (result) => {
      this.handle({ kind: "order_result", programId, number, result });
    });
  }

  #runPlatformCall(token: PlatformToken, request: PlatformRequest): void {
    const answer = (value: PlatformAnswer): void =>
      this.handle({ kind: "platform", token, answer: value });
    if (request.kind === "watch") return this.#watch(request, answer);
    const { clock, platform } = this.#world;
    clock.add(PLATFORM_MS / 2, () => {
      const faulty = platform.handle(request, clock.nowMs);
      switch (faulty.kind) {
        case "answered": {
          const delayMs = PLATFORM_MS / 2 + faulty.delayMs;
          return clock.add(delayMs, () => answer(faulty.answer));
        }
        case "silent":
          return clock.add(PLATFORM_TIMEOUT_MS, () => answer(LOST));
        case "cut":
          return clock.add(PLATFORM_MS / 2, () => answer(LOST));
        default:
          return checkNever(faulty);
      }
    });
  }

  #watch(
    request: Extract<PlatformRequest, { kind: "watch" }>,
    answer: (value: PlatformAnswer) => void,
  ): void {
    const { clock, platform } = this.#world;
    let isAnswered = false;
    const answerOnce = (value: PlatformAnswer): void => {
      if (isAnswered) return;
      isAnswered = true;
      clock.add(PLATFORM_MS / 2, () => answer(value));
    };
    clock.add(PLATFORM_MS / 2, () => {
      const nowMs = clock.nowMs;
      const cancel = platform.watch(request, { nowMs, answer: answerOnce });
      clock.add(WATCH_WAIT_MS, () => {
        cancel();
        const position = request.afterPosition;
        answerOnce({ kind: "changed", keys: [], position });
      });
    });
  }
}

const LOST: PlatformAnswer = { kind: "failed", reason: "lost" };
