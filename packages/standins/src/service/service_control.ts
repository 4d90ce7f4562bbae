/**
 * Controls how the service stand-in treats requests.
 */
import type { ServiceRuns } from "./service_runs.ts";

/** How one request is treated. */
export type ServiceBehavior =
  | { readonly kind: "normal" }
  | { readonly kind: "delay"; readonly ms: number }
  /** Refuses the request and states that it wasn't run. */
  | { readonly kind: "refuse" }
  /** Neither runs the operation nor responds. */
  | { readonly kind: "hang" }
  /** Runs the operation but never responds. */
  | { readonly kind: "hang_after" }
  /** Closes the connection without running the operation. */
  | { readonly kind: "break_before" }
  /** Runs the operation and closes the connection. */
  | { readonly kind: "break_after" }
  /** Runs the operation and responds with another key. */
  | { readonly kind: "cross" }
  /** Runs the operation and responds with an error. */
  | { readonly kind: "fail"; readonly detail: string };

/** Controls one service stand-in. */
export class ServiceControl {
  readonly runs: ServiceRuns;
  /** Duration of each run. */
  delayMs: number;
  /** Number of requests to run an operation, whatever their outcome. */
  requests = 0;
  readonly #queued: ServiceBehavior[] = [];
  readonly #byOperation = new Map<string, ServiceBehavior>();

  constructor(runs: ServiceRuns, delayMs: number) {
    this.runs = runs;
    this.delayMs = delayMs;
  }

  /** Queues a behaviour. Each queued behaviour applies to one request. */
  addNext(behavior: ServiceBehavior): void {
    this.#queued.push(behavior);
  }

  /** Sets the behaviour for every request of an operation. */
  setOperation(operation: string, behavior: ServiceBehavior): void {
    this.#byOperation.set(operation, behavior);
  }

  /** Counts a request and takes the behaviour that applies to it. */
  takeBehavior(operation: string): ServiceBehavior {
    this.requests += 1;
    return this.#queued.shift() ??
      this.#byOperation.get(operation) ??
      { kind: "normal" };
  }
}
