/**
 * Loads deployment files.
 */
import { readFile } from "node:fs/promises";
import { createFailure, type Failure } from "@camphorlock/codes";
import { err, ok, type Result } from "neverthrow";
import { parse } from "smol-toml";
import { type Deployment, DEPLOYMENT_SCHEMA } from "./schema.ts";

/** The names of the bundled deployments. */
export const DEPLOYMENT_NAMES = ["zincir", "okonkwo"] as const;

/** The name of a bundled deployment. */
export type DeploymentName = typeof DEPLOYMENT_NAMES[number];

/** Loads a bundled deployment. */
export function loadDeployment(
  name: DeploymentName,
): Promise<Result<Deployment, Failure>> {
  const url = new URL(`../../deployments/${name}.toml`, import.meta.url);
  return loadDeploymentFile(url);
}

/**
 * Loads a deployment file. Returns `SettingsUnreadable` if the file can't be
 * read, or `SettingsInvalid` with every error in the file.
 */
export async function loadDeploymentFile(
  file: string | URL,
): Promise<Result<Deployment, Failure>> {
  const fileName = String(file);
  try {
    return parseDeployment(await readFile(file, "utf8"), fileName);
  } catch (error) {
    return err(createFailure("SettingsUnreadable", `${fileName}: ${error}`));
  }
}

/** Parses the text of a deployment file. */
export function parseDeployment(
  text: string,
  fileName: string,
): Result<Deployment, Failure> {
  const document = parseToml(text);
  if (document.isErr()) {
    const detail = `${fileName}: ${document.error}`;
    return err(createFailure("SettingsInvalid", detail));
  }
  const parsed = DEPLOYMENT_SCHEMA.safeParse(document.value);
  if (parsed.success) return ok(parsed.data);
  const lines = parsed.error.issues.map((issue) =>
    `${fileName}: ${issue.path.join(".")}: ${issue.message}`
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
