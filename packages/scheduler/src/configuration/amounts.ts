/**
 * Checks of amounts and cost shares in the configuration.
 */
import { PARTNERS, type PartnerShare, WHOLE_PPM } from "@camphorlock/types";

const PPM_PER_PERCENT = 10_000;

/** Whether a number is a non-negative safe integer. */
export function isAmount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}

/**
 * Checks that each partner has exactly one share and that the shares sum to
 * 100%. Returns the rule that is broken.
 */
export function checkShares(
  shares: readonly PartnerShare[],
): string | undefined {
  for (const partner of PARTNERS) {
    const own = shares.filter((share) => share.partner === partner);
    if (own.length !== 1) return `${partner} needs exactly one share`;
  }
  const bad = shares.find(({ sharePpm }) => !isAmount(sharePpm));
  if (bad !== undefined) return `the share of ${bad.partner} is negative`;
  const sum = shares.reduce((total, share) => total + share.sharePpm, 0);
  if (sum === WHOLE_PPM) return undefined;
  return `the shares sum to ${sum / PPM_PER_PERCENT}%, not to 100%`;
}
