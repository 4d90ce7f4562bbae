/**
 * Renders the catalogues of result codes and log events as Markdown pages:
 *
 *     npm run docs:catalogues
 *
 * The pages are generated from the tables in `packages/codes/src`.
 */
import { writeFileSync } from "node:fs";
import { argv } from "node:process";
import { pathToFileURL } from "node:url";
import {
  type EventDefinition,
  EVENTS,
} from "../../packages/codes/src/events.ts";
import {
  RESULT_CODES,
  type ResultCodeDefinition,
} from "../../packages/codes/src/result_codes.ts";

/** A range of numbers with the title of its section. */
export interface Area {
  readonly first: number;
  readonly last: number;
  readonly title: string;
}

/** The path and text of a page. */
export interface CataloguePage {
  readonly path: string;
  readonly text: string;
}

/** The key, name and number of one entry of a catalogue. */
export interface CatalogueEntry {
  readonly key: string;
  readonly name: string;
  readonly number: number;
}

type Row = readonly string[];

const CODES_PER_AREA = 1_000;
const EVENTS_PER_AREA = 100;

/** Areas of the result codes, 1,000 numbers each. */
export const CODE_AREAS: readonly Area[] = buildAreas(CODES_PER_AREA, [
  "Request",
  "Program",
  "Budget",
  "Target",
  "Owner",
  "Platform",
  "Operator language",
  "Settings",
  "Node",
]);

/** Areas of the log events, 100 numbers each. */
export const EVENT_AREAS: readonly Area[] = buildAreas(EVENTS_PER_AREA, [
  "Node",
  "Membership and assignment",
  "Ledger",
  "Calls",
  "Dispatch and placement",
  "Configuration and operators",
  "Platform",
  "Targets",
  "Gateway",
]);

/** Lists the result codes in the order of the source. */
export function listCodeEntries(): CatalogueEntry[] {
  return Object.entries(RESULT_CODES).map(([key, { name, code }]) => ({
    key,
    name,
    number: code,
  }));
}

/** Lists the log events in the order of the source. */
export function listEventEntries(): CatalogueEntry[] {
  return Object.entries(EVENTS).map(([key, { name, event }]) => ({
    key,
    name,
    number: event,
  }));
}

/**
 * Checks that keys equal names, and that numbers are ascending, unique and
 * within an area. Returns a description of each problem.
 */
export function checkEntries(
  entries: readonly CatalogueEntry[],
  areas: readonly Area[],
): string[] {
  const problems: string[] = [];
  const usedNumbers = new Set<number>();
  let highest = 0;
  for (const { key, name, number } of entries) {
    if (key !== name) problems.push(`${key} has the name ${name}`);
    if (usedNumbers.has(number)) problems.push(`${number} is used twice`);
    if (number < highest) problems.push(`${number} comes after ${highest}`);
    if (!areas.some((area) => isWithin(number, area))) {
      problems.push(`${number} is outside every area`);
    }
    usedNumbers.add(number);
    highest = Math.max(highest, number);
  }
  return problems;
}

/** Renders every page. */
export function renderCatalogues(): CataloguePage[] {
  return [
    { path: "docs/RESULT_CODES.md", text: renderCodes() },
    { path: "docs/EVENTS.md", text: renderEvents() },
  ];
}

function buildAreas(size: number, titles: readonly string[]): Area[] {
  return titles.map((title, index) => ({
    first: (index + 1) * size,
    last: (index + 2) * size - 1,
    title,
  }));
}

function isWithin(number: number, { first, last }: Area): boolean {
  return number >= first && number <= last;
}

function renderCodes(): string {
  const codes: ResultCodeDefinition[] = Object.values(RESULT_CODES);
  const sections = CODE_AREAS.flatMap((area) => {
    const codesInArea = codes.filter(({ code }) => isWithin(code, area));
    return renderSection(area, [
      ["code", "name", "HTTP status", "retryable", "meaning"],
      ...codesInArea.map(mapCode),
    ]);
  });
  return [
    "# Result codes",
    "",
    "Written by `npm run docs:catalogues` from `packages/codes/src/result_codes.ts`.",
    "A retryable code says that the same request may succeed later.",
    ...sections,
    "",
  ].join("\n");
}

function renderEvents(): string {
  const events: EventDefinition[] = Object.values(EVENTS);
  const sections = EVENT_AREAS.flatMap((area) => {
    const eventsInArea = events.filter(({ event }) => isWithin(event, area));
    return renderSection(area, [
      ["event", "name", "level", "meaning"],
      ...eventsInArea.map(mapEvent),
    ]);
  });
  return [
    "# Log events",
    "",
    "Written by `npm run docs:catalogues` from `packages/codes/src/events.ts`.",
    ...sections,
    "",
  ].join("\n");
}

function mapCode(data: ResultCodeDefinition): Row {
  const { code, name, httpStatus, retryable, meaning } = data;
  return [`${code}`, name, `${httpStatus}`, retryable ? "yes" : "no", meaning];
}

function mapEvent({ event, name, level, meaning }: EventDefinition): Row {
  return [`${event}`, name, level, meaning];
}

function renderSection(area: Area, rows: readonly Row[]): string[] {
  const heading = `## ${area.title} (${area.first} to ${area.last})`;
  if (rows.length === 1) return ["", heading, "", "None yet."];
  return ["", heading, "", ...renderTable(rows)];
}

function renderTable(rows: readonly Row[]): string[] {
  const [head = []] = rows;
  const widths = head.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  const rule = widths.map((width) => "-".repeat(width));
  return [head, rule, ...rows.slice(1)].map((row) => {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    return `| ${cells.join(" | ")} |`;
  });
}

function writeCatalogues(): void {
  for (const { path, text } of renderCatalogues()) writeFileSync(path, text);
}

if (import.meta.url === pathToFileURL(argv[1] ?? "").href) writeCatalogues();
