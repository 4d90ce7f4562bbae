// Bundles the processes that run on the users' platform, so that they start
// without resolving modules.
import { build } from "esbuild";

await build({
  entryPoints: {
    gateway: "platform/gateway_main.ts",
    storage: "platform/storage_main.ts",
  },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  splitting: true,
  platform: "node",

  format: "esm",
  target: "node20",
  minifySyntax: true,
  banner: {
    js: 'import { createRequire as __createRequire } from "node:module";' +
      "const require = __createRequire(import.meta.url);",
  },
});
