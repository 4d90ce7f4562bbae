/**
 * The tenant that a kept turn belongs to.
 *
 * Disks of the build before copy the fields of a turn that they know, and drop
 * others. So on the wire and on disk the tenant stands after the target's id,
 * which they pass on unread; the gateways of that build only look for a target
 * of this id, and take another where they find none. A turn without a tenant
 * has the format of the build before.
 */

/** Neither a target's id nor a tenant's name contains a line feed. */
const SEPARATOR = "\n";

/** Who ran a turn, and for whom. */
export interface TurnRunner {
  readonly targetId: string;
  /** Undefined for a turn without a tenant. */
  readonly tenant?: string | undefined;
}

/** Encodes both as the field that older builds take for the target's id. */
export function encodeRunner({ targetId, tenant }: TurnRunner): string {
  return tenant === undefined ? targetId : `${targetId}${SEPARATOR}${tenant}`;
}

/** Decodes the field. */
export function decodeRunner(text: string): TurnRunner {
  const at = text.indexOf(SEPARATOR);
  if (at < 0) return { targetId: text };
  return { targetId: text.slice(0, at), tenant: text.slice(at + 1) };
}

/**
 * Whether a tenant may continue a chain: none of its turns belongs to another
 * one. A turn without a tenant belongs to nobody: it was kept before there were
 * tenants, or on a public route. All turns count, since a gateway of the build
 * before may have put one without a tenant at the end.
 */
export function canContinueChain(
  chain: readonly Pick<TurnRunner, "tenant">[],
  tenant: string | undefined,
): boolean {
  return chain.every((turn) =>
    turn.tenant === undefined || turn.tenant === tenant
  );
}
