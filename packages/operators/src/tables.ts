/**
 * The tables that `show` reads: their columns with types, and the rows that are
 * derived from the configuration alone.
 */
import {
  checkNever,
  type ConfigurationValue,
  PARTNERS,
  type RevisionRecord,
  type ShowSubject,
} from "@camphorlock/types";
import { formatPercent } from "./amount_format.ts";

/** How a column is compared and printed. `money` is in micros. */
export type ColumnType = "text" | "number" | "money" | "time" | "flag";

/** A column of a table. */
export interface Column {
  readonly name: string;
  readonly type: ColumnType;
}

/** A value in a row. `undefined` is printed as blank and matches only `!=`. */
export type Cell = string | number | boolean | undefined;

/** One row, by column name. */
export interface Row {
  readonly [column: string]: Cell;
}

/** The columns of each table, in the order in which they are printed. */
export const TABLES: Readonly<Record<ShowSubject, readonly Column[]>> = {
  programs: [
    defineText("program"),
    defineText("partner"),
    defineText("team"),
    defineText("agent"),
    defineText("class"),
    defineText("state"),
    defineColumn("calls", "number"),
    defineColumn("running", "number"),
    defineColumn("budget", "money"),
    defineColumn("spent", "money"),
    defineColumn("reserved", "money"),
    defineText("owner"),
  ],
  calls: [
    defineText("call"),
    defineText("program"),
    defineText("partner"),
    defineText("model"),
    defineText("target"),
    defineText("state"),
    defineColumn("charge", "money"),
    defineColumn("revision", "number"),
    defineColumn("started", "time"),
    defineColumn("ended", "time"),
  ],
  nodes: [
    defineText("node"),
    defineText("region"),
    defineText("domain"),
    defineText("state"),
    defineColumn("revision", "number"),
    defineColumn("ready", "flag"),
    defineColumn("draining", "flag"),
    defineColumn("shards", "number"),
    defineColumn("programs", "number"),
  ],
  targets: [
    defineText("target"),
    defineText("kind"),
    defineText("serves"),
    defineText("region"),
    defineText("domain"),
    defineText("address"),
    defineColumn("fencing", "flag"),
    defineColumn("leaving", "flag"),
    defineColumn("running", "number"),
    defineColumn("queued", "number"),
    defineColumn("limit", "number"),
    defineColumn("speed", "number"),
  ],
  budgets: [
    defineText("kind"),
    defineText("name"),
    defineColumn("limit", "money"),
    defineColumn("used", "money"),
  ],
  agreements: [
    defineText("costs"),
    ...PARTNERS.map((partner) => defineText(partner)),
    defineText("remainder"),
    defineColumn("since", "number"),
    defineText("state"),
  ],
  models: [
    defineText("model"),
    defineColumn("prompt", "money"),
    defineColumn("cached", "money"),
    defineColumn("completion", "money"),
  ],
  services: [defineText("service"), defineColumn("call", "money")],
  teams: [
    defineText("team"),
    defineText("partner"),
    defineColumn("shared", "flag"),
  ],
  placements: [defineText("partner"), defineText("regions")],
  policies: [defineText("policy"), defineText("value")],
  drains: [defineText("kind"), defineText("name")],
  changes: [
    defineColumn("revision", "number"),
    defineColumn("at", "time"),
    defineText("partner"),
    defineText("operator"),
    defineText("command"),
    defineText("change"),
  ],
  shards: [
    defineColumn("shard", "number"),
    defineText("owner"),
    defineColumn("epoch", "number"),
    defineText("keepers"),
  ],
};

/** Tables whose rows are derived from the configuration alone. */
export type ConfigurationSubject = Extract<
  ShowSubject,
  | "targets"
  | "budgets"
  | "agreements"
  | "models"
  | "services"
  | "teams"
  | "placements"
  | "policies"
  | "drains"
>;

/** Whether a table can be read from the configuration alone. */
export function isConfigurationSubject(
  subject: ShowSubject,
): subject is ConfigurationSubject {
  switch (subject) {
    case "targets":
    case "budgets":
    case "agreements":
    case "models":
    case "services":
    case "teams":
    case "placements":
    case "policies":
    case "drains":
      return true;
    case "programs":
    case "calls":
    case "nodes":
    case "changes":
    case "shards":
      return false;
    default:
      return checkNever(subject);
  }
}

/** Lists the rows of a table that is derived from the configuration. */
export function listConfigurationRows(
  value: ConfigurationValue,
  subject: ConfigurationSubject,
): readonly Row[] {
  switch (subject) {
    case "targets":
      return listTargetRows(value);
    case "budgets":
      return value.budgets.map(({ kind, name, limitMicros }) => ({
        kind,
        name,
        limit: limitMicros,
      }));
    case "agreements":
      return listAgreementRows(value);
    case "models":
      return value.models.map((each) => ({
        model: each.model,
        prompt: each.promptMicros,
        cached: each.cachedMicros,
        completion: each.completionMicros,
      }));
    case "services":
      return value.services.map((each) => ({
        service: each.service,
        call: each.callMicros,
      }));
    case "teams":
      return value.teams.map(({ team, partner, sharedWork: shared }) => ({
        team,
        partner,
        shared,
      }));
    case "placements":
      return value.placementRules.map(({ partner, regions }) => ({
        partner,
        regions: regions.length === 0 ? "everywhere" : regions.join(", "),
      }));
    case "policies":
      return value.policies.map(({ name, value: setting }) => ({
        policy: name,
        value: setting,
      }));
    case "drains":
      return listDrainRows(value);
    default:
      return checkNever(subject);
  }
}

/** Lists the rows of the stored changes. */
export function listChangeRows(
  records: readonly RevisionRecord[],
): readonly Row[] {
  return records.map(({ revision, atMs, by, command, changeId }) => ({
    revision,
    at: atMs,
    partner: by.partner,
    operator: by.operator,
    command,
    change: changeId,
  }));
}

function listTargetRows(value: ConfigurationValue): readonly Row[] {
  return value.targets.map((each) => ({
    target: each.targetId,
    kind: each.kind,
    serves: each.serves.join(", "),
    region: each.region,
    domain: each.failureDomain,
    address: each.address,
    fencing: each.checksFencing,
    leaving: each.leaving,
  }));
}

function listAgreementRows(value: ConfigurationValue): readonly Row[] {
  const present = value.costSplits.map((split) => ({
    split,
    state: "present",
  }));
  const past = value.pastSplits.map((split) => ({ split, state: "past" }));
  return [...present, ...past].map(({ split, state }) => ({
    costs: split.costClass,
    ...Object.fromEntries(split.shares.map((share) => {
      return [share.partner, formatPercent(share.sharePpm)];
    })),
    remainder: split.remainderTo,
    since: split.since,
    state,
  }));
}

function listDrainRows(value: ConfigurationValue): readonly Row[] {
  const targets = value.targets.filter((each) => each.leaving);
  return [
    ...targets.map((each) => ({ kind: "target", name: each.targetId })),
    ...value.vmDrains.map((each) => ({ kind: "vm", name: each.vmId })),
  ];
}

function defineText(name: string): Column {
  return defineColumn(name, "text");
}

function defineColumn(name: string, type: ColumnType): Column {
  return { name, type };
}
