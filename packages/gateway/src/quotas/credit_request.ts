/**
 * Requests for credits within a gateway, and the decisions on them.
 */
import type { Quota } from "../model/tenant.ts";
import type { TakenCredit } from "./credit_account.ts";

/** Which tenant a credit is taken for. */
export interface CreditRequest {
  readonly tenant: string;
  readonly quota: Quota;
  readonly configurationVersion: number;
}

/** The decision on one request. */
export type CreditResult =
  /** Without a credit if the tenant has no quota any more. */
  | { readonly kind: "admitted"; readonly credit: TakenCredit | undefined }
  | {
    /** The quota is used up, or no gateway decides. */
    readonly kind: "denied" | "undecided";
    readonly retryMs: number;
    /** Time since the home's decision. */
    readonly decisionAgeMs: number;
  };
