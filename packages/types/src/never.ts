/**
 * The end of an exhaustive `switch`.
 */

/**
 * Fails to compile when a union's kind isn't handled, and throws when a value
 * outside the union arrives at run time.
 */
export function checkNever(value: never): never {
  throw new TypeError(`unhandled kind: ${JSON.stringify(value)}`);
}
