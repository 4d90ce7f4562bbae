/**
 * The gateway: the proxy process between callers and targets on every entry VM.
 */
export * from "./src/gateway.ts";
export * from "./src/gateway_options.ts";
export * from "./src/gateway_metrics.ts";
export * from "./src/gateway_options.ts";
export * from "./src/log.ts";
export * from "./src/ports.ts";
export * from "./src/retirement/retirement_reporter.ts";
export * from "./src/store/store_watcher.ts";
export * from "./src/store/relayed_source.ts";
export * from "./src/model/request_fields.ts";
export * from "./src/model/routing.ts";
export * from "./src/model/target.ts";
export * from "./src/model/tenant.ts";
export * from "./src/turns/disk_vm.ts";
