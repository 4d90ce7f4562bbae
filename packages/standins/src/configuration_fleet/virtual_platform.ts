/**
 * The platform stand-in under virtual time. Responses arrive after a delay; a
 * lost response appears to its caller as a timeout.
 */
import type { PlatformRequest, PlatformResponse } from "@camphorlock/types";
import type { FaultyStore } from "../platform/faulty_store.ts";
import type { VirtualClock } from "../fleet/virtual_clock.ts";

/** One-way delay from a node to the platform. */
const PLATFORM_DELAY_MS = 2;

/** Time without a response after which a client reports it as lost. */
const CLIENT_TIMEOUT_MS = 2_000;

/** Time without a change after which a client ends a watch. */
const WATCH_TIMEOUT_MS = 30_000;

/** Receives the only response to a request. */
export type ResponseListener = (response: PlatformResponse) => void;

/** A node's connection to the platform. */
export interface PlatformConnection {
  readonly listener: ResponseListener;
  /** Whether messages can currently pass in both directions. */
  readonly isReachable: () => boolean;
}

type WatchRequest = Extract<PlatformRequest, { readonly kind: "watch" }>;

/** The platform of a virtual fleet. */
export class VirtualPlatform {
  readonly #store: FaultyStore;
  readonly #clock: VirtualClock;
  /** Bytes of object values written and read. */
  bytes = 0;

  constructor(store: FaultyStore, clock: VirtualClock) {
    this.#store = store;
    this.#clock = clock;
  }

  /** Sends a request; the listener receives exactly one response. */
  send(request: PlatformRequest, connection: PlatformConnection): void {
    let isOpen = true;
    const respond = (response: PlatformResponse): void => {
      if (!isOpen) return;
      isOpen = false;
      connection.listener(response);
    };
    const isWatch = request.kind === "watch";
    const timeoutMs = isWatch ? WATCH_TIMEOUT_MS : CLIENT_TIMEOUT_MS;
    this.#clock.add(timeoutMs, () => {
      respond({ kind: "failed", reason: "lost" });
    });
    if (request.kind === "put") this.bytes += request.value.length;
    const { isReachable } = connection;
    this.#clock.add(PLATFORM_DELAY_MS, () => {
      if (!isReachable()) return;
      const open = { listener: respond, isReachable };
      if (request.kind === "watch") this.#watch(request, open);
      else this.#handle(request, open);
    });
  }

  #watch(request: WatchRequest, connection: PlatformConnection): void {
    const { nowMs } = this.#clock;
    this.#store.watch(request, {
      nowMs,
      answer: (response) =>
        this.#sendResponse(response, { connection, delayMs: 0 }),
    });
  }

  #handle(request: PlatformRequest, connection: PlatformConnection): void {
    const { nowMs } = this.#clock;
    const result = this.#store.handle(request, nowMs);
    const lateAtMs = this.#store.findNextDelayedMs();
    if (lateAtMs !== undefined) {
      this.#clock.add(
        lateAtMs - nowMs,
        () => this.#store.applyDelayed(lateAtMs),
      );
    }
    if (result.kind !== "answered") return;
    const { answer: response, delayMs } = result;
    if (response.kind === "found") this.bytes += response.object.value.length;
    this.#sendResponse(response, { connection, delayMs });
  }

  #sendResponse(
    response: PlatformResponse,
    options: {
      readonly connection: PlatformConnection;
      readonly delayMs: number;
    },
  ): void {
    const { connection, delayMs } = options;
    this.#clock.add(delayMs + PLATFORM_DELAY_MS, () => {
      if (connection.isReachable()) connection.listener(response);
    });
  }
}
