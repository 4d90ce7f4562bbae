/**
 * Stand-ins for the external systems: small fakes behind the same interfaces,
 * for tests and for the development command.
 */
export {
  DEFAULT_ENGINE_SETTINGS,
  EngineModel,
  type EngineSettings,
} from "./src/engine/mod.ts";
export * from "./src/engine_server/completion_text.ts";
export * from "./src/engine_server/engine_control.ts";
export * from "./src/engine_server/engine_core.ts";
export * from "./src/engine_server/serve_engine.ts";
export * from "./src/http_server.ts";
export * from "./src/platform/fault_plan.ts";
export * from "./src/platform/faulty_store.ts";
export * from "./src/platform/object_store.ts";
export * from "./src/platform/platform_control.ts";
export * from "./src/platform/serve_platform.ts";
export * from "./src/platform/vm_list.ts";
export * from "./src/service/serve_service.ts";
export * from "./src/service/service_control.ts";
export * from "./src/service/service_runs.ts";
export * from "./src/balancer/serve_balancer.ts";
export * from "./src/deployment/load_deployment.ts";
export * from "./src/deployment/schema.ts";
export * from "./src/deployment/serve_deployment.ts";
export * from "./src/bench/engines_bench.ts";
export * from "./src/bench/capacity/capacity_bench.ts";
export * from "./src/bench/capacity/render_capacity.ts";
export * from "./src/bench/policy/render_report.ts";
export * from "./src/bench/policy/run_policy_bench.ts";
export * from "./src/scenario/load_scenario.ts";
export * from "./src/scenario/run_scenario.ts";
