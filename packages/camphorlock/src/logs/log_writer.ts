/**
 * Writes the log events of the catalogue as JSON lines or as readable text.
 */
import {
  type EventDefinition,
  type EventLevel,
  EVENTS,
} from "@camphorlock/codes";
import type { LogFields, LogRecord } from "@camphorlock/types";
import { createLogger, format, type Logger, transports } from "winston";

/** The level and format of a node's log. */
export interface LogOptions {
  readonly vmId: string;
  readonly level: EventLevel;
  readonly format: "json" | "readable";
}

const EVENT_BY_NUMBER = new Map<number, EventDefinition>(
  Object.values(EVENTS).map((definition) => [definition.event, definition]),
);

/** Writes log records to standard error. */
export class LogWriter {
  readonly #logger: Logger;
  readonly #vmId: string;

  constructor(options: LogOptions) {
    this.#vmId = options.vmId;
    this.#logger = createLogger({
      level: options.level,
      format: options.format === "json"
        ? format.combine(format.timestamp(), format.json())
        : format.combine(format.timestamp(), format.printf(formatReadable)),
      transports: [
        new transports.Console({
          stderrLevels: ["debug", "info", "warn", "error"],
        }),
      ],
    });
  }

  /** Writes a record at the level of its event. */
  write(record: LogRecord): void {
    const definition = EVENT_BY_NUMBER.get(record.event);
    this.#logger.log({
      level: definition?.level ?? "error",
      message: definition?.name ?? "Unlisted",
      event: record.event,
      vm: this.#vmId,
      fields: record.fields,
    });
  }
}

function formatReadable(info: { readonly [key: string]: unknown }): string {
  const fields = formatFields(info.fields as LogFields);
  return `${info.timestamp} ${info.level} ${info.event} ${info.message} ` +
    `vm=${info.vm} ${fields}`;
}

function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(" ");
}

function formatValue(value: LogFields[string]): string {
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}
