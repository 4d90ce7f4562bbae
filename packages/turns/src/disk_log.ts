/**
 * The log that the turn store writes to.
 */
import type { EventDefinition } from "@camphorlock/codes/events";
import type { LogFields } from "@camphorlock/types";

/** Writes structured log lines without blocking. */
export interface DiskLog {
  write(event: EventDefinition, fields: LogFields): void;
}
