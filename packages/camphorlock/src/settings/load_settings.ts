/**
 * Loads and checks settings files. One failure reports all errors, each with
 * the file, the key, the value found and the values allowed.
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

/** Parses and checks settings; `source` is their file name in errors. */
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
    const allowedKeys = listKeysAt(context.schema, path);
    return issue.keys.map((key) => {
      const name = [...path, key].join(".");
      return `${context.source}: ${name}: unknown key${
        formatSuggestion(key, allowedKeys)
      }`;
    });
  }
  const found = JSON.stringify(getValueAt(context.value, path));
  const name = path.join(".");
  return [`${context.source}: ${name}: found ${found}; ${issue.message}`];
}

function formatSuggestion(key: string, allowedKeys: readonly string[]): string {
  const nearest = findNearestName(key, allowedKeys);
  return nearest === undefined
    ? `; allowed: ${allowedKeys.join(", ")}`
    : `; did you mean ${nearest}?`;
}

/** Lists the keys that the schema allows at a path. */
function listKeysAt(schema: z.ZodType, path: readonly string[]): string[] {
  let current: unknown = schema;
  for (const key of path) current = getShape(current)?.[key];
  return Object.keys(getShape(current) ?? {});
}

interface SchemaShape {
  readonly [key: string]: unknown;
}

/** Gets the keys of an object schema, also where a default wraps it. */
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
  let current = value;
  for (const key of path) {
    if (typeof current !== "object" || current === null) return undefined;
    current = (current as SchemaShape)[key];
  }
  return current;
}
