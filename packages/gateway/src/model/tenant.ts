/**
 * The tenants of the configuration in force, as the gateway uses them.
 */

/** How many requests a tenant may make, over all gateways. */
export interface Quota {
  /** Requests a second; above zero. */
  readonly ratePerS: number;
  /** Requests beyond the rate that may come at once; zero or more. */
  readonly burst: number;
}

/** A customer whose keys callers send. */
export interface Tenant {
  readonly name: string;
  /** Precedes the priority of the route; 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Undefined when the tenant has no limit. */
  readonly quota: Quota | undefined;
}

/** A tenant with its keys, as the configuration lists them. */
export interface TenantEntry extends Tenant {
  readonly keys: readonly string[];
}
