/**
 * The first configuration of an installation, as a TOML file.
 *
 * It becomes revision 1 if the platform stores no configuration yet. From then
 * on, operators change the configuration by statements.
 */
import type { Failure } from "@camphorlock/codes";
import { EMPTY_CONFIGURATION } from "@camphorlock/scheduler";
import { type ConfigurationValue, PARTNERS } from "@camphorlock/types";
import type { Result } from "neverthrow";
import { z } from "zod";
import { loadToml, validateSettings } from "./load_settings.ts";

const name = z.string().min(1);
const micros = z.number().int().nonnegative();

const target = z.strictObject({
  target: name,
  kind: z.enum(["engine", "service"]),
  serves: z.array(name).min(1),
  region: name,
  failure_domain: name,
  address: name,
  checks_fencing: z.boolean().default(false),
});

const model = z.strictObject({
  model: name,
  /** Prices in micros per 1,000 tokens. */
  prompt_micros: micros,
  cached_micros: micros,
  completion_micros: micros,
});

const service = z.strictObject({ service: name, call_micros: micros });

const team = z.strictObject({
  team: name,
  partner: z.enum(PARTNERS),
  shared_work: z.boolean().default(false),
});

const configurationSchema = z.strictObject({
  targets: z.array(target).min(1),
  models: z.array(model).default([]),
  services: z.array(service).default([]),
  teams: z.array(team).default([]),
});

/** Loads and checks a first configuration. */
export function loadConfiguration(
  file: string,
): Result<ConfigurationValue, Failure> {
  return loadToml(file)
    .andThen((value) =>
      validateSettings(configurationSchema, { value, source: file })
    )
    .map(buildValue);
}

function buildValue(
  file: z.infer<typeof configurationSchema>,
): ConfigurationValue {
  return {
    ...EMPTY_CONFIGURATION,
    targets: file.targets.map((each) => ({
      targetId: each.target,
      kind: each.kind,
      serves: each.serves,
      region: each.region,
      failureDomain: each.failure_domain,
      address: each.address,
      checksFencing: each.checks_fencing,
      leaving: false,
    })),
    models: file.models.map((each) => ({
      model: each.model,
      promptMicros: each.prompt_micros,
      cachedMicros: each.cached_micros,
      completionMicros: each.completion_micros,
    })),
    services: file.services.map((each) => ({
      service: each.service,
      callMicros: each.call_micros,
    })),
    teams: file.teams.map((each) => ({
      team: each.team,
      partner: each.partner,
      sharedWork: each.shared_work,
    })),
  };
}
