/**
 * Finds the tenant of a key. Built once for each configuration, of up to
 * 100,000 keys; a lookup takes the same time for any number of keys.
 */
import type { Tenant, TenantEntry } from "../model/tenant.ts";

/** The tenants of one configuration, by key. */
export class TenantDirectory {
  readonly #byKey = new Map<string, Tenant>();
  /** Number of keys that an earlier tenant of the list has, too. */
  readonly repeatedKeys: number;

  constructor(entries: readonly TenantEntry[]) {
    let repeatedKeys = 0;
    for (const { name, priority, quota, keys } of entries) {
      // Without its keys, so that no log line of a tenant can hold one.
      const tenant: Tenant = { name, priority, quota };
      for (const key of keys) {
        if (this.#byKey.has(key)) repeatedKeys += 1;
        else this.#byKey.set(key, tenant);
      }
    }
    this.repeatedKeys = repeatedKeys;
  }

  /** Number of keys. */
  get size(): number {
    return this.#byKey.size;
  }

  /** Finds the tenant of a key; a key of two tenants is the first one's. */
  find(key: string): Tenant | undefined {
    return this.#byKey.get(key);
  }
}
