/**
 * Admits requests of tenants with a quota: takes a credit before anything else
 * is done for a request, and gives it back if the request isn't sent.
 */
import type {
  QuotaRefusal,
  RequestCredit,
} from "../exchange/request_credit.ts";
import type { AcceptedRequest } from "../exchange/request_end.ts";
import type { GatewayMetrics } from "../gateway_metrics.ts";
import type { TakenCredit } from "./credit_account.ts";
import type { CreditRequest, CreditResult } from "./credit_request.ts";
import type { QuotaClient } from "./quota_client.ts";

/** Whether a request may go on. */
export type Admission =
  /** Without a credit if the tenant has no quota. */
  | { readonly kind: "admitted"; readonly credit: RequestCredit | undefined }
  | { readonly kind: "refused"; readonly refusal: QuotaRefusal };

/** Dependencies of the admission. */
export interface RequestQuotasDependencies {
  readonly metrics: Pick<GatewayMetrics, "add">;
  /** Undefined where no quota has to hold. */
  readonly client:
    | Pick<QuotaClient, "take" | "release" | "canSend">
    | undefined;
  /** The id of a tenant's home, for refusals. */
  readonly findHomeId: (tenant: string) => string;
}

/** The admission of requests at one gateway. */
export class RequestQuotas {
  readonly #dependencies: RequestQuotasDependencies;

  constructor(dependencies: RequestQuotasDependencies) {
    this.#dependencies = dependencies;
  }

  /** Acquires a credit for a request, if its tenant has a quota. */
  async acquire(
    { tenant, configurationVersion }: Pick<
      AcceptedRequest,
      "tenant" | "configurationVersion"
    >,
  ): Promise<Admission> {
    const { client } = this.#dependencies;
    const quota = tenant?.quota;
    if (client === undefined || tenant === undefined || quota === undefined) {
      return { kind: "admitted", credit: undefined };
    }
    const request = { tenant: tenant.name, quota, configurationVersion };
    const result = await client.take(request);
    if (result.kind !== "admitted") {
      return { kind: "refused", refusal: this.#buildRefusal(request, result) };
    }
    const { credit } = result;
    return {
      kind: "admitted",
      credit: credit && this.#buildCredit(request, credit),
    };
  }

  #buildCredit(request: CreditRequest, first: TakenCredit): RequestCredit {
    const { client, metrics } = this.#dependencies;
    let credit: TakenCredit | undefined = first;
    let wasSent = false;
    return {
      confirm: async () => {
        if (wasSent || client === undefined || credit === undefined) {
          return undefined;
        }
        if (client.canSend(credit)) return undefined;
        metrics.add("quota_credits_renewed");
        const result = await client.take(request);
        // The former credit has expired, so there's nothing to give back.
        credit = result.kind === "admitted" ? result.credit : undefined;
        if (result.kind === "admitted") return undefined;
        return this.#buildRefusal(request, result);
      },
      recordSent: () => wasSent = true,
      release: () => {
        if (wasSent || credit === undefined) return;
        client?.release(request.tenant, credit);
        credit = undefined;
      },
    };
  }

  #buildRefusal(
    { tenant, quota: { ratePerS, burst } }: CreditRequest,
    result: Exclude<CreditResult, { readonly kind: "admitted" }>,
  ): QuotaRefusal {
    const ageMs = Math.round(result.decisionAgeMs);
    const home = this.#dependencies.findHomeId(tenant);
    const isDenied = result.kind === "denied";
    const reason = isDenied
      ? `may make ${ratePerS} requests/s, ${burst} more at once`
      : "has a quota on which no gateway decides at present";
    return {
      code: isDenied ? "QuotaExceeded" : "QuotaUnavailable",
      detail: `tenant ${tenant} ${reason}; home ${home}, ${ageMs} ms ago`,
      retryAfterMs: result.retryMs,
    };
  }
}
