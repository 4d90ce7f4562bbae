/**
 * Checks of received values, field by field.
 */

/**
 * Whether a value fits. `unknown_kind` is a variant that only a later release
 * knows: no fault, but nothing that this release can handle.
 */
export type Fit = "fits" | "malformed" | "unknown_kind";

/** Checks one value. */
export type FieldCheck = (value: unknown) => Fit;

type OptionalKeys<T> = {
  [F in keyof T]-?: undefined extends T[F] ? F : never;
}[keyof T];

type RequiredKeys<T> = Exclude<keyof T, OptionalKeys<T> | "kind">;

/** A check for each field; those that may be missing can be left out. */
export type Shape<T> =
  & { readonly [F in RequiredKeys<T>]: FieldCheck }
  & { readonly [F in OptionalKeys<T>]?: FieldCheck };

/** A shape for each variant of a union that is discriminated by `kind`. */
export type UnionShape<T extends { readonly kind: string }> = {
  readonly [K in T["kind"]]: Shape<Extract<T, { kind: K }>>;
};

const LARGEST_LIST = 100_000;

/** Checks for a string. */
export function checkText(value: unknown): Fit {
  return buildFit(typeof value === "string");
}

/** Checks for a boolean. */
export function checkFlag(value: unknown): Fit {
  return buildFit(typeof value === "boolean");
}

/** Checks for a finite number. */
export function checkAmount(value: unknown): Fit {
  return buildFit(typeof value === "number" && Number.isFinite(value));
}

/** Checks for a whole number from zero. */
export function checkWhole(value: unknown): Fit {
  return buildFit(Number.isSafeInteger(value) && Number(value) >= 0);
}

/** Checks for a whole number, of either sign. */
export function checkInteger(value: unknown): Fit {
  return buildFit(Number.isSafeInteger(value));
}

/** Checks for bytes. */
export function checkBytes(value: unknown): Fit {
  return buildFit(value instanceof Uint8Array);
}

/** Whether a value is an object with named fields. */
export function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Builds a check for one of some strings. */
export function buildOneOf(members: readonly string[]): FieldCheck {
  return (value) =>
    buildFit(typeof value === "string" && members.includes(value));
}

/** Builds a check for a value that may be missing. */
export function buildOptional(check: FieldCheck): FieldCheck {
  return (value) => value === undefined ? "fits" : check(value);
}

/** Builds a check for a bounded list. */
export function buildListOf(check: FieldCheck): FieldCheck {
  return (value) => {
    if (!Array.isArray(value) || value.length > LARGEST_LIST) {
      return "malformed";
    }
    return value.map(check).find((fit) => fit !== "fits") ?? "fits";
  };
}

/** Builds a check for an object of a shape. */
export function buildShape<T>(shape: Shape<T>): FieldCheck {
  return (value) => {
    if (!isObject(value)) return "malformed";
    return findMisfit(shape, value)?.fit ?? "fits";
  };
}

/** Builds a check for any variant of a union. */
export function buildUnion<T extends { readonly kind: string }>(
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
    return findMisfit(shape, value)?.fit ?? "fits";
  };
}

/** Finds the first field that doesn't fit. */
export function findMisfit<T>(
  shape: Shape<T>,
  value: Record<string, unknown>,
): { readonly field: string; readonly fit: Fit } | undefined {
  const checks = shape as Readonly<Record<string, FieldCheck>>;
  for (const field of Object.keys(checks)) {
    const fit = checks[field]?.(value[field]) ?? "fits";
    if (fit !== "fits") return { field, fit };
  }
  return undefined;
}

function buildFit(fits: boolean): Fit {
  return fits ? "fits" : "malformed";
}
