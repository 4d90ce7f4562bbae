/**
 * The schema of a deployment file, which lists the stand-ins of a deployment.
 *
 * Keys are in snake case. Delays are one way, with their unit in the key.
 */
import { PARTNERS } from "@camphorlock/types";
import { z } from "zod";

const NAME = z.string().regex(/^[a-z0-9-]+$/, "lower-case letters, digits, -");
const DELAY_MS = z.number().nonnegative().max(1_000);

const DEPLOYMENT = z.strictObject({ name: NAME, partner: z.enum(PARTNERS) });

const DELAYS = z.strictObject({
  between_failure_domains_ms: DELAY_MS,
  between_regions_ms: DELAY_MS,
  to_clients_ms: DELAY_MS,
});

const REGION = z.strictObject({
  name: NAME,
  failure_domains: z.array(NAME).min(1),
});

const LOCATION = { region: NAME, "failure_domain": NAME };

const NODE = z.strictObject({
  vm: NAME,
  ...LOCATION,
  has_disk: z.boolean().default(false),
});

const TARGET = z.strictObject({
  target: NAME,
  kind: z.enum(["engine", "service"]),
  serves: z.array(NAME).min(1),
  ...LOCATION,
  checks_fencing: z.boolean(),
});

/** The schema of a deployment file. */
export const DEPLOYMENT_SCHEMA = z.strictObject({
  deployment: DEPLOYMENT,
  delays: DELAYS,
  regions: z.array(REGION).min(1),
  nodes: z.array(NODE).min(1),
  targets: z.array(TARGET).min(1),
}).check((context) => checkLocations(context));

/** A deployment as its file describes it. */
export type Deployment = z.infer<typeof DEPLOYMENT_SCHEMA>;

interface LocationCheck {
  readonly value: {
    readonly regions: readonly z.infer<typeof REGION>[];
    readonly nodes: readonly z.infer<typeof NODE>[];
    readonly targets: readonly z.infer<typeof TARGET>[];
  };
  readonly issues: unknown[];
}

/** Checks that each node's and target's region lists its failure domain. */
function checkLocations({ value, issues }: LocationCheck): void {
  for (const section of ["nodes", "targets"] as const) {
    value[section].forEach((each, index) => {
      const region = value.regions.find(({ name }) => name === each.region);
      if (region?.failure_domains.includes(each.failure_domain)) return;
      issues.push({
        code: "custom",
        input: each.failure_domain,
        path: [section, index, "failure_domain"],
        message: `no failure domain ${each.failure_domain} of ${each.region}`,
      });
    });
  }
}
