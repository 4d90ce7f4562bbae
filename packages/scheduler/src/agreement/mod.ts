/**
 * Charges, their split by agreement, their outbox, and statements.
 */
export * from "./charge_lines.ts";
export * from "./charge_outbox.ts";
export * from "./outbox_input.ts";
export * from "./split_charge.ts";
export * from "./statement.ts";
