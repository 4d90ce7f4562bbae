/**
 * Switches how the service stand-in behaves.
 */
import type { ServiceRuns } from "./service_runs.ts";

/** How one request is treated. */
export type ServiceBehavior =
  | { readonly kind: "normal" }
  | { readonly kind: "delay"; readonly ms: number }
  /** States that it wasn't run. */
  | { readonly kind: "refuse" }
  /** Never runs and never answers. */
  | { readonly kind: "hang" }
  /** Runs and never answers. */
  | { readonly kind: "hang_after" }
  /** Breaks the connection before running. */
  | { readonly kind: "break_before" }
  /** Runs and breaks the connection. */
  | { readonly kind: "break_after" }
  /** Runs and answers under another key. */
  | { readonly kind: "cross" }
  /** Runs and reports an error. */
  | { readonly kind: "fail"; readonly detail: string };

/** Controls one service stand-in. */
export class ServiceControl {
  readonly runs: ServiceRuns;
  /** Time that each run takes. */
  delayMs: number;
  /** Requests to run an operation, whatever became of them. */
  requests = 0;
  readonly #planned: ServiceBehavior[] = [];
  readonly #byOperation = new Map<string, ServiceBehavior>();

  constructor(runs: ServiceRuns, delayMs: number) {
    this.runs = runs;
    this.delayMs = delayMs;
  }

  /** Treats the next request so; several are used up in order. */
  addNext(behavior: ServiceBehavior): void {
    this.#planned.push(behavior);
  }

  /** Treats every request of an operation so. */
  setOperation(operation: string, behavior: ServiceBehavior): void {
    this.#byOperation.set(operation, behavior);
  }

  /** Takes the behaviour for a request that arrives. */
  takeBehavior(operation: string): ServiceBehavior {
    this.requests += 1;
    return this.#planned.shift() ??
      this.#byOperation.get(operation) ??
      { kind: "normal" };
  }
}
