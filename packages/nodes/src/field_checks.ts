/**
 * Validation of received values, field by field.
 */

/**
 * The result of a check. `unknown_kind` is a variant of a union that a later
 * release added: it's valid, but this release can't handle it.
 */
export type CheckResult = "fits" | "malformed" | "unknown_kind";

/** Checks one value. */
export type FieldCheck = (value: unknown) => CheckResult;

type OptionalKeys<T> = {
  [F in keyof T]-?: undefined extends T[F] ? F : never;
}[keyof T];

type RequiredKeys<T> = Exclude<keyof T, OptionalKeys<T> | "kind">;

/** A check for each field. Checks of optional fields can be left out. */
export type Shape<T> =
  & { readonly [F in RequiredKeys<T>]: FieldCheck }
  & { readonly [F in OptionalKeys<T>]?: FieldCheck };

/** A shape for each variant of a union that is discriminated by `kind`. */
export type UnionShape<T extends { readonly kind: string }> = {
  readonly [K in T["kind"]]: Shape<Extract<T, { kind: K }>>;
};

const MAX_LIST_LENGTH = 100_000;

/** Checks for a string. */
export function checkString(value: unknown): CheckResult {
  return buildResult(typeof value === "string");
}

/** Checks for a boolean. */
export function checkBoolean(value: unknown): CheckResult {
  return buildResult(typeof value === "boolean");
}

/** Checks for a finite number. */
export function checkNumber(value: unknown): CheckResult {
  return buildResult(typeof value === "number" && Number.isFinite(value));
}

/** Checks for a non-negative safe integer. */
export function checkUnsigned(value: unknown): CheckResult {
  return buildResult(Number.isSafeInteger(value) && Number(value) >= 0);
}

/** Checks for a safe integer of either sign. */
export function checkInteger(value: unknown): CheckResult {
  return buildResult(Number.isSafeInteger(value));
}

/** Checks for bytes. */
export function checkBytes(value: unknown): CheckResult {
  return buildResult(value instanceof Uint8Array);
}

/** Whether a value is an object with named fields. */
export function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Builds a check for one of a set of strings. */
export function buildEnumCheck(members: readonly string[]): FieldCheck {
  return (value) =>
    buildResult(typeof value === "string" && members.includes(value));
}

/** Builds a check for a value that may be missing. */
export function buildOptionalCheck(check: FieldCheck): FieldCheck {
  return (value) => value === undefined ? "fits" : check(value);
}

/** Builds a check for an array of at most `MAX_LIST_LENGTH` items. */
export function buildListCheck(check: FieldCheck): FieldCheck {
  return (value) => {
    if (!Array.isArray(value) || value.length > MAX_LIST_LENGTH) {
      return "malformed";
    }
    return value.map(check).find((result) => result !== "fits") ?? "fits";
  };
}

/** Builds a check for an object with the fields of a shape. */
export function buildObjectCheck<T>(shape: Shape<T>): FieldCheck {
  return (value) => {
    if (!isObject(value)) return "malformed";
    return findInvalidField(shape, value)?.result ?? "fits";
  };
}

/** Builds a check for any variant of a union. */
export function buildUnionCheck<T extends { readonly kind: string }>(
  shapes: UnionShape<T>,
): FieldCheck {
  const byKind = shapes as Readonly<Record<string, Shape<unknown>>>;
  return (value) => {
    if (!isObject(value) || typeof value["kind"] !== "string") {
      return "malformed";
    }
    const shape = Object.hasOwn(byKind, value["kind"])
      ? byKind[value["kind"]]
      : undefined;
    if (shape === undefined) return "unknown_kind";
    return findInvalidField(shape, value)?.result ?? "fits";
  };
}

/** Finds the first field that fails its check. */
export function findInvalidField<T>(
  shape: Shape<T>,
  value: Record<string, unknown>,
): { readonly field: string; readonly result: CheckResult } | undefined {
  const checks = shape as Readonly<Record<string, FieldCheck>>;
  for (const field of Object.keys(checks)) {
    const result = checks[field]?.(value[field]) ?? "fits";
    if (result !== "fits") return { field, result };
  }
  return undefined;
}

function buildResult(fits: boolean): CheckResult {
  return fits ? "fits" : "malformed";
}
