/**
 * The project's lint rules: verb names, import direction, platform names,
 * module heads, file length and no file banners.
 */
import { isVerbName } from "./verbs.ts";

const MAX_FILE_LINES = 300;
const MAX_TEST_LINES = 450;
const BANNER_PATTERN = /copyright|\blicen[sc]ed?\b|SPDX/i;

/** Packages that the scheduler may import: types, catalogues, pure code. */
const SCHEDULER_IMPORTS: readonly string[] = [
  "@camphorlock/types",
  "@camphorlock/codes",
  "neverthrow",
  "msgpackr",
  "pure-rand",
  "node:crypto",
];

/** Packages that tests may import in addition. */
const TEST_IMPORTS: readonly string[] = ["chai", "fast-check", "node:fs"];

function isTest(file: string): boolean {
  return /_test\.ts$/.test(file);
}

/** Files that were too long when the rule was added. Split them; add none. */
const FILES_OVER_LIMIT: readonly string[] = [
  "packages/nodes/src/peer_network.ts",
  "packages/scheduler/src/assignment/shard_assigner.ts",
  "packages/scheduler/src/configuration/configuration.ts",
  "packages/scheduler/src/configuration/proposal.ts",
  "packages/scheduler/src/dispatch/target_dispatcher.ts",
  "packages/scheduler/src/membership/membership.ts",
  "packages/standins/src/bench/policy/bench_node.ts",
  "packages/standins/src/engine/engine_model.ts",
];

/** Catalogues are tables, whose length is unlimited. */
function getMaxLines(file: string): number {
  if (/packages\/codes\/src\//.test(file)) return Number.MAX_SAFE_INTEGER;
  return isTest(file) ? MAX_TEST_LINES : MAX_FILE_LINES;
}

function getPackage(file: string): string | undefined {
  return /packages\/([a-z]+)\//.exec(file)?.[1];
}

function isAllowedImport(file: string, source: string): boolean {
  const name = getPackage(file);
  if (source.startsWith(".")) return !isOutsidePackage(file, source);
  if (name !== "scheduler" && name !== "types") return true;
  if (isTest(file) && TEST_IMPORTS.includes(source)) return true;
  const allowed = name === "scheduler" ? SCHEDULER_IMPORTS : ["neverthrow"];
  return allowed.some((each) =>
    source === each || source.startsWith(`${each}/`)
  );
}

function isOutsidePackage(file: string, source: string): boolean {
  const pathInPackage = /packages\/[a-z]+\/(.*)$/.exec(file)?.[1];
  if (pathInPackage === undefined) return false;
  const depth = pathInPackage.split("/").length - 1;
  const parentSteps = source.split("/").filter((part) => part === "..").length;
  return parentSteps > depth;
}

function getName(node: { type: string; name?: unknown }): string | undefined {
  return node.type === "Identifier" && typeof node.name === "string"
    ? node.name
    : undefined;
}

/** Names of the users' platform, which only its adapter may contain. */
const PLATFORM_NAMES =
  /^(x-(attempt-id|token-budget|token-count|program-id|session-id|program-deadline-ms|prompt-prefix|deadline-ms|server-signature|not-executed|target-instance|model|previous-turn|affinity-key|hold|pin-ms|kv-backup)|kv-(from|fetch|move|events|list)|writesPerS|readsPerS|pathPrefix|routeType|idleTimeoutMs|morePages|asOf|allowStale|deletionPending)$|\/camphorlock\/(objects|report|readyz)|hold-take/i;

/** Names of the project that are equal to names of the platform. */
const ALLOWED_NAMES: readonly string[] = ["pathPrefix", "idleTimeoutMs"];

function isPlatformName(text: string): boolean {
  return PLATFORM_NAMES.test(text) && !ALLOWED_NAMES.includes(text);
}

const plugin: Deno.lint.Plugin = {
  name: "camphorlock",
  rules: {
    "verb-names": {
      create(context) {
        const check = (node: Deno.lint.Node, name: string | undefined) => {
          if (name === undefined || isVerbName(name)) return;
          if (isTest(context.filename)) return;
          const message = `${name} doesn't begin with a verb of docs/VERBS.md`;
          context.report({ node, message });
        };
        return {
          FunctionDeclaration(node) {
            if (node.id !== null) check(node, getName(node.id));
          },
          MethodDefinition(node) {
            if (node.kind !== "method" || node.computed) return;
            const { key } = node;
            const name = key.type === "PrivateIdentifier"
              ? key.name
              : getName(key as { type: string; name?: unknown });
            check(node, name?.replace(/^#/, ""));
          },
        };
      },
    },
    "import-direction": {
      create(context) {
        const check = (node: Deno.lint.Node, source: string) => {
          if (isAllowedImport(context.filename, source)) return;
          const message = `this package may not import ${source}`;
          context.report({ node, message });
        };
        return {
          ImportDeclaration: (node) => check(node, node.source.value),
          ExportAllDeclaration: (node) => check(node, node.source.value),
          ExportNamedDeclaration(node) {
            if (node.source) check(node, node.source.value);
          },
        };
      },
    },
    "platform-names": {
      create(context) {
        return {
          Literal(node) {
            if (!/packages\//.test(context.filename)) return;
            if (typeof node.value !== "string") return;
            if (!isPlatformName(node.value)) return;
            const message = `${node.value} may only be used in platform/`;
            context.report({ node, message });
          },
        };
      },
    },
    "module-head": {
      create(context) {
        return {
          Program(node) {
            if (isTest(context.filename)) return;
            const text = context.sourceCode.text.trimStart();
            if (text.startsWith("/**") || text.startsWith("#!")) return;
            const message = "a module must begin with a doc comment";
            context.report({ node, message });
          },
        };
      },
    },
    "no-banner": {
      create(context) {
        return {
          Program(node) {
            const head = context.sourceCode.text.slice(0, 600);
            const comment = /^\s*(\/\*[\s\S]*?\*\/|(\/\/.*\n)+)/.exec(head);
            if (comment === null || !BANNER_PATTERN.test(comment[0])) return;
            const message =
              "a file must not begin with a licence notice or banner";
            context.report({ node, message });
          },
        };
      },
    },
    "file-length": {
      create(context) {
        return {
          Program(node) {
            const lines = context.sourceCode.text.split("\n").length;
            const file = context.filename;
            if (FILES_OVER_LIMIT.some((each) => file.endsWith(each))) return;
            const maxLines = getMaxLines(file);
            if (lines <= maxLines + 1) return;
            const message = `${lines} lines; the limit is ${maxLines}`;
            context.report({ node, message });
          },
        };
      },
    },
  },
};

export default plugin;
