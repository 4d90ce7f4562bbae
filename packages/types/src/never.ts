/**
 * The default case of an exhaustive `switch`.
 */

/**
 * Fails to compile when a variant of a union isn't handled, and throws when a
 * value outside the union occurs at run time.
 */
export function checkNever(value: never): never {
  throw new TypeError(`unhandled kind: ${JSON.stringify(value)}`);
}
