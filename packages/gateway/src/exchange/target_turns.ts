/**
 * The targets of one request, one after the other: takes the request's turn in
 * the queue before the first one, and again when every target has rejected it.
 */
import type { PlacementChoice } from "../placement/work_estimate.ts";
import type { TargetSearch } from "../queue/queued_request.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";
import { chooseNextTarget, hasUsableTarget } from "./next_target.ts";
import {
  QueueTurn,
  type QueueTurnOptions,
  type TurnAnswer,
} from "./queue_turn.ts";
import type { RequestBlocks } from "./request_blocks.ts";

/** The request that targets are chosen for. */
export interface TargetTurnsOptions
  extends Pick<QueueTurnOptions, "report" | "state" | "clock"> {
  readonly blocks: RequestBlocks;
}

/** The turns of one request. */
export class TargetTurns {
  /** Whether only targets may be chosen that may already run the request. */
  onlyRunners = false;
  readonly #dependencies: ExchangeDependencies;
  readonly #options: TargetTurnsOptions;
  readonly #turn: QueueTurn;

  constructor(dependencies: ExchangeDependencies, options: TargetTurnsOptions) {
    this.#dependencies = dependencies;
    this.#options = options;
    this.#turn = new QueueTurn(dependencies, {
      ...options,
      isConstrained: () => this.#isConstrained(),
      findTarget: () => this.#findAnyTarget(),
    });
  }

  /** Takes the next target, as soon as it's the request's turn. */
  async take(): Promise<TurnAnswer | { readonly kind: "version_gone" }> {
    const choice = this.#chooseTarget();
    if (choice !== undefined && this.#turn.hasGone) {
      return { kind: "go", choice };
    }
    const isGone = choice === undefined && !this.#hasUsableTarget();
    if (isGone) return { kind: "version_gone" };
    return await this.#turn.take(choice);
  }

  /** Ends a wait. */
  stop(): void {
    this.#turn.stop();
  }

  /** Searches a target for a request that waits, also among the full ones. */
  #findAnyTarget(): TargetSearch {
    this.#options.report.sends.excluded.clear();
    const { paths } = this.#dependencies.ways;
    const canGoOn = paths.canReachTargets && this.#hasUsableTarget();
    return canGoOn ? this.#chooseTarget() : "recheck";
  }

  #hasUsableTarget(): boolean {
    return hasUsableTarget(this.#dependencies, this.#options.report);
  }

  #chooseTarget(): PlacementChoice | undefined {
    const { report, state, blocks } = this.#options;
    return chooseNextTarget(this.#dependencies, {
      ...report,
      previousTargetId: state.turn?.previousTargetId,
      onlyRunners: this.onlyRunners,
      avoidedAddress: blocks.findTrial()?.address,
    });
  }

  #isConstrained(): boolean {
    const { report, blocks } = this.#options;
    return this.onlyRunners || report.sends.start.hasBegun ||
      blocks.findTrial() !== undefined;
  }
}
