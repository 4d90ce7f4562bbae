/**
 * What keeps one request from targets, since it may end them.
 */
import type { Block, Trial } from "../decisions/blocked_requests.ts";
import { getAddress } from "../decisions/target_table.ts";
import type { Fingerprint } from "../model/request_fingerprint.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";

/** The blocks of one request. */
export class RequestBlocks {
  readonly #dependencies: Pick<ExchangeDependencies, "blocked" | "targets">;
  readonly #fingerprint: Fingerprint;
  readonly #service: string;

  constructor(
    dependencies: Pick<ExchangeDependencies, "blocked" | "targets">,
    fingerprint: Fingerprint,
    service: string,
  ) {
    this.#dependencies = dependencies;
    this.#fingerprint = fingerprint;
    this.#service = service;
  }

  /** Finds the block of the request, or of what it's about. */
  find(): Block | undefined {
    const { blocked } = this.#dependencies;
    return blocked.find(this.#fingerprint, performance.now());
  }

  /** Finds the address that the request avoids for a while. */
  findTrial(): Trial | undefined {
    const { blocked } = this.#dependencies;
    return blocked.findTrial(this.#fingerprint, performance.now());
  }

  /** Finds the trial that leaves no target of the service. */
  findLastTrial(): Trial | undefined {
    const trial = this.findTrial();
    if (trial === undefined) return undefined;
    const { targets } = this.#dependencies;
    const ready = targets.listReady(this.#service, performance.now());
    const isAlone = ready.length > 0 &&
      ready.every(({ target }) => getAddress(target) === trial.address);
    return isAlone ? trial : undefined;
  }
}
