/**
 * The verbs that function names may begin with. docs/VERBS.md explains them; a
 * test checks that both lists agree.
 */

/** Every verb, in the order of docs/VERBS.md. */
export const VERBS: readonly string[] = [
  "add",
  "remove",
  "append",
  "apply",
  "answer",
  "refuse",
  "build",
  "create",
  "define",
  "call",
  "cancel",
  "check",
  "choose",
  "compare",
  "confirm",
  "pause",
  "renew",
  "resume",
  "reserve",
  "plan",
  "filter",
  "measure",
  "view",
  "operate",
  "compute",
  "count",
  "sum",
  "connect",
  "close",
  "encode",
  "decode",
  "find",
  "get",
  "list",
  "format",
  "parse",
  "grant",
  "release",
  "handle",
  "is",
  "has",
  "can",
  "needs",
  "load",
  "save",
  "log",
  "record",
  "map",
  "merge",
  "split",
  "sort",
  "open",
  "end",
  "place",
  "print",
  "render",
  "read",
  "write",
  "run",
  "send",
  "receive",
  "serve",
  "set",
  "update",
  "settle",
  "start",
  "stop",
  "subscribe",
  "watch",
  "take",
  "validate",
  "wait",
];

/** Names that JavaScript or a library prescribes. */
const PRESCRIBED_NAMES: readonly string[] = [
  "constructor",
  "toString",
  "toJSON",
  "then",
];

/** Whether a function may have the name. */
export function isVerbName(name: string): boolean {
  if (PRESCRIBED_NAMES.includes(name)) return true;
  if (/^on[A-Z]/.test(name)) return true;
  const verb = /^[a-z]+/.exec(name)?.[0];
  return verb !== undefined && VERBS.includes(verb);
}
