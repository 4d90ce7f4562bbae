/**
 * Loads and checks settings files. Every error is reported at once, with the
 * file, the key, what was found and what is allowed.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { findNearestName } from "@camphorlock/scheduler";
import { err, ok, Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import type { z } from "zod";
import { type NodeSettings, settingsSchema } from "./schema.ts";

const readText = Result.fromThrowable(
  (file: string) => readFileSync(file, "utf8"),
  (error) => createFailure("SettingsUnreadable", String(error)),
);

const parseToml = Result.fromThrowable(
  (text: string): unknown => parse(text),
  (error) => createFailure("SettingsInvalid", String(error)),
);

/** Loads and checks a node's settings file. */
export function loadSettings(file: string): Result<NodeSettings, Failure> {
  return readText(file).andThen((text) => parseSettings(text, file));
}

/** Loads a TOML file without checking its content. */
export function loadToml(file: string): Result<unknown, Failure> {
  return readText(file).andThen((text) =>
    parseToml(text).mapErr(({ detail }) =>
      createFailure("SettingsInvalid", `${file}: ${detail}`)
    )
  );
}

/** Parses and checks settings; `source` names them in errors. */
export function parseSettings(
  text: string,
  source: string,
): Result<NodeSettings, Failure> {
  return parseToml(text)
    .mapErr(({ detail }) =>
      createFailure(
        "SettingsInvalid",
        `${source}: ${detail}`,
      )
    )
    .andThen((value) => validateSettings(settingsSchema, { value, source }));
}

/** A parsed file and its name. */
export interface ParsedSettings {
  readonly value: unknown;
  readonly source: string;
}

/** Validates parsed settings against a schema. */
export function validateSettings<Settings>(
  schema: z.ZodType<Settings>,
  parsed: ParsedSettings,
): Result<Settings, Failure> {
  const checked = schema.safeParse(parsed.value);
  if (checked.success) return ok(checked.data);
  const lines = checked.error.issues
    .flatMap((issue) => formatIssue(issue, { schema, ...parsed }));
  return err(createFailure("SettingsInvalid", lines.join("\n")));
}

function formatIssue(
  issue: z.core.$ZodIssue,
  context: ParsedSettings & { readonly schema: z.ZodType },
): string[] {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    const known = listKeysAt(context.schema, path);
    return issue.keys.map((key) => {
      const name = [...path, key].join(".");
      return `${context.source}: ${name}: unknown key${
        formatSuggestion(key, known)
      }`;
    });
  }
  const found = JSON.stringify(getValueAt(context.value, path));
  const name = path.join(".");
  return [`${context.source}: ${name}: found ${found}; ${issue.message}`];
}

function formatSuggestion(key: string, known: readonly string[]): string {
  const nearest = findNearestName(key, known);
  return nearest === undefined
    ? `; allowed: ${known.join(", ")}`
    : `; did you mean ${nearest}?`;
}

/** Lists the keys that the schema allows below a path. */
function listKeysAt(schema: z.ZodType, path: readonly string[]): string[] {
  let at: unknown = schema;
  for (const key of path) at = getShape(at)?.[key];
  return Object.keys(getShape(at) ?? {});
}

interface SchemaShape {
  readonly [key: string]: unknown;
}

/** Gets the members of an object schema, also inside a default. */
function getShape(schema: unknown): SchemaShape | undefined {
  const definition = (schema as { def?: SchemaDefinition } | undefined)?.def;
  if (definition === undefined) return undefined;
  if (definition.shape !== undefined) return definition.shape;
  return getShape(definition.innerType);
}

interface SchemaDefinition {
  readonly shape?: SchemaShape;
  readonly innerType?: unknown;
}

function getValueAt(value: unknown, path: readonly string[]): unknown {
  let at = value;
  for (const key of path) {
    if (typeof at !== "object" || at === null) return undefined;
    at = (at as SchemaShape)[key];
  }
  return at;
}
