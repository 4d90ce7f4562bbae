/**
 * The platform stand-in under virtual time: answers arrive after a delay, and
 * what a caller sees of a lost answer is a timeout.
 */
import type { PlatformAnswer, PlatformRequest } from "@camphorlock/types";
import type { FaultyStore } from "../platform/faulty_store.ts";
import type { VirtualClock } from "../fleet/virtual_clock.ts";

/** One-way delay from a node to the platform. */
const PLATFORM_DELAY_MS = 2;

/** After this long without an answer a client reports it lost. */
const CLIENT_TIMEOUT_MS = 2_000;

/** After this long without a change a client gives a watch up. */
const WATCH_TIMEOUT_MS = 30_000;

/** Receives the one answer of a request. */
export type AnswerListener = (answer: PlatformAnswer) => void;

/** How a node is connected to the platform. */
export interface PlatformConnection {
  readonly listener: AnswerListener;
  /** Whether messages get through at present. */
  readonly isReached: () => boolean;
}

type WatchRequest = Extract<PlatformRequest, { readonly kind: "watch" }>;

/** A platform that virtual nodes call. */
export class VirtualPlatform {
  readonly #store: FaultyStore;
  readonly #queue: VirtualClock;
  /** Bytes of stored values, written and read. */
  bytes = 0;

  constructor(store: FaultyStore, queue: VirtualClock) {
    this.#store = store;
    this.#queue = queue;
  }

  /** Sends a request; the listener is told once. */
  send(request: PlatformRequest, connection: PlatformConnection): void {
    let isOpen = true;
    const answer = (value: PlatformAnswer): void => {
      if (!isOpen) return;
      isOpen = false;
      connection.listener(value);
    };
    const isWatch = request.kind === "watch";
    const timeoutMs = isWatch ? WATCH_TIMEOUT_MS : CLIENT_TIMEOUT_MS;
    this.#queue.add(timeoutMs, () => {
      answer({ kind: "failed", reason: "lost" });
    });
    if (request.kind === "put") this.bytes += request.value.length;
    const { isReached } = connection;
    this.#queue.add(PLATFORM_DELAY_MS, () => {
      if (!isReached()) return;
      const open = { listener: answer, isReached };
      if (request.kind === "watch") this.#watch(request, open);
      else this.#handle(request, open);
    });
  }

  #watch(request: WatchRequest, connection: PlatformConnection): void {
    const { nowMs } = this.#queue;
    this.#store.watch(request, {
      nowMs,
      answer: (value) => this.#answer(value, { connection, delayMs: 0 }),
    });
  }

  #handle(request: PlatformRequest, connection: PlatformConnection): void {
    const { nowMs } = this.#queue;
    const result = this.#store.handle(request, nowMs);
    const lateAtMs = this.#store.findNextLate();
    if (lateAtMs !== undefined) {
      this.#queue.add(lateAtMs - nowMs, () => this.#store.applyLate(lateAtMs));
    }
    if (result.kind !== "answered") return;
    const { answer, delayMs } = result;
    if (answer.kind === "found") this.bytes += answer.object.value.length;
    this.#answer(answer, { connection, delayMs });
  }

  #answer(
    answer: PlatformAnswer,
    options: {
      readonly connection: PlatformConnection;
      readonly delayMs: number;
    },
  ): void {
    const { connection, delayMs } = options;
    this.#queue.add(delayMs + PLATFORM_DELAY_MS, () => {
      if (connection.isReached()) connection.listener(answer);
    });
  }
}
