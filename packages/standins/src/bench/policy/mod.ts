/**
 * Benches of the scheduling policies under load, in virtual time.
 */
export * from "./bench_result.ts";
export * from "./decision_bench.ts";
export * from "./decision_report.ts";
export * from "./render_report.ts";
export * from "./run_policy_bench.ts";
