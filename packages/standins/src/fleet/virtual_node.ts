/**
 * One node under virtual time: a node core, and an environment that runs its
 * effects. The node can be paused, killed and restarted.
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
  type PlatformRequest,
  type PlatformResponse,
  type PlatformToken,
} from "@camphorlock/types";
import type { FaultyStore } from "../platform/faulty_store.ts";
import type { VirtualClock } from "./virtual_clock.ts";
import type { VirtualNetwork } from "./virtual_network.ts";
import type { VirtualTargets } from "./virtual_targets.ts";

const TICK_INTERVAL_MS = 50;
/** Round-trip time between a node and the platform. */
const ROUND_TRIP_MS = 3;
/** Time without a response after which a platform call is reported as lost. */
const PLATFORM_TIMEOUT_MS = 3_000;
const WATCH_TIMEOUT_MS = 15_000;

/** The parts of a fleet that its nodes share. */
export interface FleetContext {
  readonly clock: VirtualClock;
  readonly network: VirtualNetwork;
  readonly targets: VirtualTargets;
  readonly platform: FaultyStore;
}

/** Receives what a node reports to the test. */
export interface VirtualNodeHooks {
  onResponse(effect: Extract<Effect, { kind: "answer_caller" }>): void;
  onNotice(notice: NodeNotice): void;
  onLog(record: LogRecord): void;
}

/** Options of a virtual node. */
export interface VirtualNodeOptions {
  readonly spec: NodeSpec;
  readonly seed: number;
  readonly limits?: Partial<NodeOptions["limits"]>;
  readonly initial?: NodeOptions["initial"];
}

/** A running, paused or ended node. */
export class VirtualNode {
  readonly spec: NodeSpec;
  readonly #context: FleetContext;
  readonly #hooks: VirtualNodeHooks;
  readonly #core: NodeCore;
  #pendingInputs: NodeInput[] = [];
  /** The attempts whose events this process receives, with the text so far. */
  readonly #runningAttempts = new Map<AttemptId, string>();
  #isPaused = false;
  #isEnded = false;
  #isHandedOver = false;

  constructor(
    options: VirtualNodeOptions,
    context: FleetContext,
    hooks: VirtualNodeHooks,
  ) {
    const { spec, seed, limits, initial } = options;
    this.spec = spec;
    this.#context = context;
    this.#hooks = hooks;
    this.#core = new NodeCore({
      spec,
      seed,
      limits: { ...DEFAULT_NODE_LIMITS, ...limits },
      getWallClockMs: () => context.clock.nowMs,
      ...(initial === undefined ? {} : { initial }),
    });
    context.network.connect(spec, (from, message) => {
      this.handle({ kind: "peer", from, message });
    });
    this.#startTicks();
  }

  /** The core, which makes the node's decisions. */
  get core(): NodeCore {
    return this.#core;
  }

  /** Whether the node has handed over its shards and has no open request. */
  get isDrained(): boolean {
    return this.#isHandedOver && this.#core.openRequests === 0;
  }

  /** Whether the process has ended. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Handles an input now, or after the pause if the node is paused. */
  handle(input: NodeInput): void {
    if (this.#isEnded) return;
    if (this.#isPaused) {
      this.#pendingInputs.push(input);
      return;
    }
    const step = this.#core.handle(input, this.#context.clock.nowMs);
    for (const effect of step.effects) this.#runEffect(effect);
    for (const notice of step.notices) {
      if (notice.kind === "handed_over") this.#isHandedOver = true;
      this.#hooks.onNotice(notice);
    }
  }

  /** Pauses the process, as SIGSTOP does. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Resumes a paused process, which handles the inputs received meanwhile. */
  resume(): void {
    this.#isPaused = false;
    for (const input of this.#pendingInputs.splice(0)) this.handle(input);
  }

  /** Ends the process immediately. Its in-memory state is lost. */
  end(): void {
    this.#isEnded = true;
    this.#context.network.remove(this.spec.vmId);
  }

  #startTicks(): void {
    this.#context.clock.add(TICK_INTERVAL_MS, () => {
      if (this.#isEnded) return;
      if (!this.#isPaused) this.handle({ kind: "tick" });
      this.#startTicks();
    });
  }

  #runEffect(effect: Effect): void {
    const { network, targets } = this.#context;
    switch (effect.kind) {
      case "send_peer":
        return network.send(this.spec.vmId, effect.to, effect.message);
      case "call_platform":
        return this.#runPlatformCall(effect.token, effect.request);
      case "answer_caller":
        return this.#hooks.onResponse(effect);
      case "start_attempt":
      case "resume_attempt":
        return this.#runAttempt(effect);
      case "cancel_attempt":
        this.#runningAttempts.delete(effect.attemptId);
        return targets.cancel(effect.attemptId);
      case "order_target":
        return this.#runOrder(effect);
      case "log":
        return this.#hooks.onLog(effect.record);
      default:
        return checkNever(effect);
    }
  }

  /** Runs an attempt, or replays its text if this process has it already. */
  #runAttempt(
    effect: Extract<Effect, { kind: "start_attempt" | "resume_attempt" }>,
  ): void {
    const { order, kind } = effect;
    const { attemptId } = order;
    const receivedText = this.#runningAttempts.get(attemptId);
    if (kind === "resume_attempt" && receivedText !== undefined) {
      return this.#sendReceivedText(attemptId, receivedText);
    }
    this.#runningAttempts.set(attemptId, order.prefixText);
    const report = (event: AttemptEvent): void =>
      this.#handleAttempt(attemptId, event);
    if (kind === "start_attempt") this.#context.targets.start(order, report);
    else this.#context.targets.resume(order, report);
  }

  #sendReceivedText(attemptId: AttemptId, text: string): void {
    if (text === "") return;
    const event = { kind: "text", offset: 0, text, tokens: 0 } as const;
    this.#context.clock.add(0, () => {
      this.handle({ kind: "attempt", attemptId, event });
    });
  }

  #handleAttempt(attemptId: AttemptId, event: AttemptEvent): void {
    const text = this.#runningAttempts.get(attemptId);
    if (text === undefined) return;
    if (event.kind === "text") {
      this.#runningAttempts.set(
        attemptId,
        text.slice(0, event.offset) + event.text,
      );
    } else {
      this.#runningAttempts.delete(attemptId);
    }
    this.handle({ kind: "attempt", attemptId, event });
  }

  #runOrder(effect: Extract<Effect, { kind: "order_target" }>): void {
    const { targetId, number, order } = effect;
    if (order.kind !== "release") return;
    const { programId } = order;
    this.#context.targets.release(targetId, programId, (result) => {
      this.handle({ kind: "order_result", programId, number, result });
    });
  }

  #runPlatformCall(token: PlatformToken, request: PlatformRequest): void {
    const respond = (response: PlatformResponse): void =>
      this.handle({ kind: "platform", token, answer: response });
    if (request.kind === "watch") return this.#watch(request, respond);
    const { clock, platform } = this.#context;
    clock.add(ROUND_TRIP_MS / 2, () => {
      const faulty = platform.handle(request, clock.nowMs);
      switch (faulty.kind) {
        case "answered": {
          const delayMs = ROUND_TRIP_MS / 2 + faulty.delayMs;
          return clock.add(delayMs, () => respond(faulty.answer));
        }
        case "silent":
          return clock.add(PLATFORM_TIMEOUT_MS, () => respond(RESPONSE_LOST));
        case "cut":
          return clock.add(ROUND_TRIP_MS / 2, () => respond(RESPONSE_LOST));
        default:
          return checkNever(faulty);
      }
    });
  }

  #watch(
    request: Extract<PlatformRequest, { kind: "watch" }>,
    respond: (response: PlatformResponse) => void,
  ): void {
    const { clock, platform } = this.#context;
    let isDone = false;
    const respondOnce = (response: PlatformResponse): void => {
      if (isDone) return;
      isDone = true;
      clock.add(ROUND_TRIP_MS / 2, () => respond(response));
    };
    clock.add(ROUND_TRIP_MS / 2, () => {
      const nowMs = clock.nowMs;
      const cancel = platform.watch(request, { nowMs, answer: respondOnce });
      clock.add(WATCH_TIMEOUT_MS, () => {
        cancel();
        const position = request.afterPosition;
        respondOnce({ kind: "changed", keys: [], position });
      });
    });
  }
}

const RESPONSE_LOST: PlatformResponse = { kind: "failed", reason: "lost" };
