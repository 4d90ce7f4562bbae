/**
 * The model of an inference engine, without I/O.
 */
export * from "./engine_model.ts";
export * from "./engine_types.ts";
export * from "./prefix_cache.ts";
