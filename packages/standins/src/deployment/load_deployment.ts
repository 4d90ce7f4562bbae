/**
 * Loads deployment files.
 */
import { readFile } from "node:fs/promises";
import { createFailure, type Failure } from "@camphorlock/codes";
import { err, ok, type Result } from "neverthrow";
import { parse } from "smol-toml";
import { type Deployment, DEPLOYMENT_SCHEMA } from "./schema.ts";

/** The deployments that ship with the stand-ins. */
export const DEPLOYMENT_NAMES = ["zincir", "okonkwo"] as const;

/** The name of a deployment that ships. */
export type DeploymentName = typeof DEPLOYMENT_NAMES[number];

/** Loads a deployment that ships. */
export function loadDeployment(
  name: DeploymentName,
): Promise<Result<Deployment, Failure>> {
  const file = new URL(`../../deployments/${name}.toml`, import.meta.url);
  return loadDeploymentFile(file);
}

/**
 * Loads a deployment file. Fails with `SettingsUnreadable`, or with
 * `SettingsInvalid` and every error of the file.
 */
export async function loadDeploymentFile(
  file: string | URL,
): Promise<Result<Deployment, Failure>> {
  const shown = String(file);
  try {
    return parseDeployment(await readFile(file, "utf8"), shown);
  } catch (error) {
    return err(createFailure("SettingsUnreadable", `${shown}: ${error}`));
  }
}

/** Parses the text of a deployment file. */
export function parseDeployment(
  text: string,
  shownFile: string,
): Result<Deployment, Failure> {
  const document = parseToml(text);
  if (document.isErr()) {
    const detail = `${shownFile}: ${document.error}`;
    return err(createFailure("SettingsInvalid", detail));
  }
  const parsed = DEPLOYMENT_SCHEMA.safeParse(document.value);
  if (parsed.success) return ok(parsed.data);
  const lines = parsed.error.issues.map((issue) =>
    `${shownFile}: ${issue.path.join(".")}: ${issue.message}`
  );
  return err(createFailure("SettingsInvalid", lines.join("\n")));
}

function parseToml(text: string): Result<unknown, string> {
  try {
    return ok(parse(text));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}
