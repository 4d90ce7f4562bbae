/**
 * Ends the processes of a case, by the ids that it's told, and removes the case's
 * temporary folder once the case's own process has ended, also by SIGKILL.
 */
import { rmSync } from "node:fs";

const [, , folder] = process.argv;
const pids = [];

process.on("message", ({ pid }) => pids.push(pid));
process.on("disconnect", () => {
  for (const pid of pids) {
    try {
      process.kill(pid, "SIGKILL");
    } catch {
      // It has ended before.
    }
  }
  rmSync(folder, { recursive: true, force: true });
  process.exit(0);
});
