/**
 * Reads the structured log lines of one or more processes from a text. Each
 * JSON object may have a prefix on its line.
 */

/** One structured log line. */
export interface LogLine {
  readonly at: string;
  readonly vm: string;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Selects lines; an absent field matches every line. */
export interface LineFilter {
  readonly request?: string;
  readonly program?: string;
}

/** Log lines with the same event name and reason. */
export interface OutcomeGroup {
  readonly name: string;
  readonly reason: string;
  readonly count: number;
  readonly first: LogLine;
}

/** Parses every structured line of a text and sorts the lines by time. */
export function parseLogLines(text: string): LogLine[] {
  return text.split("\n")
    .flatMap((line) => parseLine(line) ?? [])
    .sort((left, right) => left.at < right.at ? -1 : 1);
}

/** Filters the lines of a request or a program. */
export function filterLines(
  lines: readonly LogLine[],
  filter: LineFilter,
): LogLine[] {
  return lines.filter(({ fields }) =>
    (filter.request === undefined || fields["request"] === filter.request) &&
    (filter.program === undefined || fields["program"] === filter.program)
  );
}

/** Counts how and why requests and attempts ended, most frequent first. */
export function countOutcomes(lines: readonly LogLine[]): OutcomeGroup[] {
  const groups = new Map<string, OutcomeGroup>();
  for (const line of lines) {
    if (!line.name.startsWith("Request") && line.name !== "SendFailed") {
      continue;
    }
    const reason = formatReason(line);
    const key = `${line.name} ${reason}`;
    const count = (groups.get(key)?.count ?? 0) + 1;
    const first = groups.get(key)?.first ?? line;
    groups.set(key, { name: line.name, reason, count, first });
  }
  return [...groups.values()].sort((left, right) => right.count - left.count);
}

/** Formats a line as readable text. */
export function formatLine({ at, vm, name, fields }: LogLine): string {
  const details = Object.entries(fields)
    .filter(([key]) => !["level", "event", "request"].includes(key))
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  return [at, vm, name, ...details].join(" ");
}

function parseLine(line: string): LogLine | undefined {
  const start = line.indexOf('{"at"');
  if (start < 0) return undefined;
  try {
    const { at, vm, name, ...fields } = JSON.parse(line.slice(start));
    return { at, vm, name, fields };
  } catch {
    // Skips invalid JSON, such as a line truncated at the end of a file.
    return undefined;
  }
}

function formatReason({ fields }: LogLine): string {
  const { status, code, outcome, detail, next } = fields;
  // Numbers differ between requests with the same reason.
  const text = typeof detail === "string" ? detail.replace(/\d+/g, "N") : "";
  return [status, code, outcome, next, text]
    .filter((part) => part !== undefined && part !== "")
    .join(" ");
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
