/**
 * Charges: their split by agreement, the outbox that publishes them, and the
 * statements built from them.
 */
export * from "./charge_lines.ts";
export * from "./charge_outbox.ts";
export * from "./outbox_input.ts";
export * from "./split_charge.ts";
export * from "./statement.ts";
