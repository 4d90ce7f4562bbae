/**
 * Runs the requests whose route was found: puts the turns of a conversation
 * together, counts tokens against the program's budget, and runs the request
 * at the targets. While the process is being stopped, requests that may not end
 * in time are refused.
 */
import type { TurnAccounts } from "../accounts/turn_accounts.ts";
import type { CallerExchange } from "../exchange/caller_exchange.ts";
import type { ExchangeDependencies } from "../exchange/exchange_dependencies.ts";
import type { AcceptedRequest } from "../exchange/request_end.ts";
import { RequestRunner } from "../exchange/request_runner.ts";
import type { Route } from "../model/routing.ts";
import type { StreamVersion } from "../model/stream_version.ts";
import type { ConfigurationInForce } from "../store/watched_state.ts";
import type { TurnHistory } from "../turns/turn_history.ts";
import type { RequestQuotas } from "../quotas/request_quotas.ts";
import type { TurnState } from "../turns/turn_state.ts";
import { type Refusal, refuseRequest } from "./refuse_request.ts";

/**
 * When a caller may take up a stream whose beginning isn't known yet: what the
 * gateway that began it saved may still be on its way.
 */
const TAKE_UP_RETRY_MS = 100;

/** Dependencies of the requests. */
export interface AcceptedRequestsDependencies extends ExchangeDependencies {
  readonly accounts: TurnAccounts;
  readonly history: TurnHistory;
  readonly quotas: Pick<RequestQuotas, "acquire">;
  getConfiguration(): ConfigurationInForce | undefined;
  /** Time until the process ends; infinite unless it's being stopped. */
  countStopLeftMs(): number;
}

/** The accepted requests of one process. */
export class AcceptedRequests {
  readonly #dependencies: AcceptedRequestsDependencies;
  readonly #runners = new Set<RequestRunner>();

  constructor(dependencies: AcceptedRequestsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Ends the open requests: with an error response, unless a stream began. */
  endAll(): void {
    for (const runner of this.#runners) runner.stop();
  }

  /** Repeats what may be repeated after the links to the targets were lost. */
  resumeElsewhere(): void {
    for (const runner of this.#runners) runner.resumeElsewhere();
  }

  /** Ends the open requests that have just been blocked. */
  stopBlocked(): void {
    for (const runner of this.#runners) runner.stopIfBlocked();
  }

  /** Runs a request to its final response. */
  async run(accepted: AcceptedRequest): Promise<void> {
    const { fields, caller, limitMs } = accepted;
    const leftMs = this.#dependencies.countStopLeftMs();
    if (limitMs > leftMs) {
      const detail = `${Math.round(leftMs)} ms until the process ends`;
      return this.#refuse(caller, {
        code: "GatewayStopping",
        detail,
        fields,
        // Another gateway serves the caller at once.
        retryAfterMs: 0,
      });
    }
    const admission = await this.#dependencies.quotas.acquire(accepted);
    if (admission.kind === "refused") {
      return this.#refuse(caller, { ...admission.refusal, fields });
    }
    const { credit } = admission;
    if (credit === undefined) return await this.#runAdmitted(accepted);
    try {
      await this.#runAdmitted({ ...accepted, credit });
    } finally {
      credit.release();
    }
  }

  async #runAdmitted(accepted: AcceptedRequest): Promise<void> {
    const { fields, caller, route } = accepted;
    if (route.kind !== "streaming") return await this.#run(accepted, {});
    const begun = await this.#findBeginning(accepted);
    if (begun === undefined && fields.resumeAfter > 0) {
      return this.#refuse(caller, {
        code: "StreamUnknown",
        detail: `attempt ${fields.resumedRequestId ?? "not named"} isn't known`,
        fields,
        retryAfterMs: TAKE_UP_RETRY_MS,
      });
    }
    if (route.retentionMs === undefined) {
      return await this.#runWithBudget(accepted, { begun });
    }
    const opening = await this.#dependencies.history.open(accepted);
    switch (opening.kind) {
      case "opened":
        return await this.#runWithBudget(accepted, { turn: opening.turn });
      case "refused": {
        const { code, detail } = opening;
        return this.#refuse(caller, { code, detail, fields });
      }
    }
  }

  /** Finds the version that began the stream that a request takes up. */
  async #findBeginning(
    { fields, fingerprint }: AcceptedRequest,
  ): Promise<StreamVersion | undefined> {
    if (fields.resumeAfter === 0) return undefined;
    const { versions } = this.#dependencies;
    return await versions.find(fingerprint, fields.resumedRequestId);
  }

  async #runWithBudget(
    accepted: AcceptedRequest,
    state: TurnState,
  ): Promise<void> {
    const { fields, caller } = accepted;
    const { accounts } = this.#dependencies;
    const { budget } = fields;
    if (budget === undefined) return await this.#run(accepted, state);
    const startedAtMs = performance.now();
    const opening = await accounts.open({
      ...budget,
      turnId: fields.requestId,
      eventTokens: this.#findEventTokens(accepted.route),
    });
    const { metrics } = this.#dependencies;
    metrics.record("admission", performance.now() - startedAtMs);
    if (opening.kind !== "admitted") {
      const isOverBudget = opening.kind === "over_budget";
      if (isOverBudget) metrics.add("turns_over_budget");
      return this.#refuse(caller, {
        code: isOverBudget ? "TurnOverBudget" : "AccountUnavailable",
        detail: `program budget is ${budget.budgetTokens} tokens`,
        fields,
      });
    }
    const { grant } = opening;
    await this.#run(accepted, { ...state, grant });
    grant.close();
  }

  async #run(accepted: AcceptedRequest, state: TurnState): Promise<void> {
    const runner = new RequestRunner(this.#dependencies, accepted, state);
    this.#runners.add(runner);
    try {
      await runner.run();
    } finally {
      this.#runners.delete(runner);
    }
  }

  /** Finds the tokens per event; 0 if the configuration doesn't state them. */
  #findEventTokens(route: Route): number {
    const services = this.#dependencies.getConfiguration()?.configuration
      .services;
    const tokens = route.services
      .map(({ service }) => services?.get(service)?.tokensPerEvent ?? 0);
    return tokens.includes(0) ? 0 : Math.max(...tokens);
  }

  #refuse(caller: CallerExchange, reason: Refusal): void {
    refuseRequest(this.#dependencies, caller, reason);
  }
}
