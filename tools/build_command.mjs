// Bundles the command line. Libraries stay external and load from node_modules.
import { chmod } from "node:fs/promises";
import { build } from "esbuild";

const COMMAND = "packages/camphorlock/dist/camphorlock.mjs";

await build({
  entryPoints: ["packages/camphorlock/src/cli/main.ts"],
  outfile: COMMAND,
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  plugins: [{
    name: "external-libraries",
    setup(setup) {
      setup.onResolve({ filter: /^[^./]/ }, ({ path, kind }) => {
        if (kind === "entry-point" || path.startsWith("@camphorlock/")) return;
        return { path, external: true };
      });
    },
  }],
});
await chmod(COMMAND, 0o755);
