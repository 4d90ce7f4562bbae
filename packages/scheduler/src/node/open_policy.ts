/**
 * The simplest policy: the target with the fewest attempts of this node, and a
 * slot for whoever asks.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  ConfigurationValue,
  DispatchMessage,
  Effect,
  TargetId,
  TargetSpec,
  VmId,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type {
  CallPlacer,
  PlacementChoice,
  PlacementRequest,
} from "../owner/mod.ts";

const GRANT_LIFE_MS = 1_500;

/** Places and grants without limits. */
export class OpenPolicy implements CallPlacer {
  readonly #self: VmId;
  readonly #getValue: () => ConfigurationValue;
  readonly #running = new Map<TargetId, number>();

  constructor(self: VmId, getValue: () => ConfigurationValue) {
    this.#self = self;
    this.#getValue = getValue;
  }

  /** Chooses the target with the fewest attempts. */
  choose(request: PlacementRequest): Result<PlacementChoice, Failure> {
    const { call, excluded } = request;
    const name = call.kind === "model" ? call.model : call.service;
    const serving = this.#listServing(call.kind, name);
    const fresh = serving.filter((each) => !excluded.includes(each.targetId));
    const [target] = (fresh.length > 0 ? fresh : serving)
      .sort((left, right) => this.#count(left) - this.#count(right));
    if (target === undefined) return err(createFailure("NoTarget", name));
    const { targetId } = target;
    const dispatcher = this.#self;
    return ok({ targetId, dispatcher, cachedTokens: 0, effects: [] });
  }

  recordCached(): void {}

  recordReleased(): void {}

  /** Whether the target is configured. */
  hasTarget(target: TargetId): boolean {
    return this.#getValue().targets.some((each) => each.targetId === target);
  }

  /** Answers requests for slots. */
  handle(from: VmId, message: DispatchMessage): Effect[] {
    if (message.kind === "slot_released") {
      this.#add(message.targetId, -1);
      return [];
    }
    if (message.kind !== "slot_request") return [];
    this.#add(message.targetId, 1);
    const { attemptId, targetId } = message;
    const granted = { kind: "slot_granted", attemptId, targetId } as const;
    const answer = { ...granted, expiresInMs: GRANT_LIFE_MS };
    return [{ kind: "send_peer", to: from, message: answer }];
  }

  #listServing(kind: "model" | "service", name: string): TargetSpec[] {
    const wanted = kind === "model" ? "engine" : "service";
    return this.#getValue().targets.filter((each) =>
      each.kind === wanted && !each.leaving && each.serves.includes(name)
    );
  }

  #count(target: TargetSpec): number {
    return this.#running.get(target.targetId) ?? 0;
  }

  #add(targetId: TargetId, amount: number): void {
    const count = (this.#running.get(targetId) ?? 0) + amount;
    this.#running.set(targetId, Math.max(0, count));
  }
}
