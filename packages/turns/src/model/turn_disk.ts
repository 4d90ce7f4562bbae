/**
 * The disks that keep turns, as their processes register them.
 */
import { isPeerAddress } from "@camphorlock/channel";

/** One disk and the process that serves it. */
export interface DiskInfo {
  readonly vmId: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Identifies the disk's contents; a new or wiped disk has another id. */
  readonly diskId: string;
  /** Whether the disk is being emptied and takes no new turns. */
  readonly isRetiring: boolean;
}

/** What may be lost at the same time without the loss of a kept turn. */
export interface LossTolerance {
  readonly disks: number;
  readonly failureDomains: number;
  readonly regions: number;
}

/** Decodes an entry of the registry; undefined if it isn't a disk's. */
export function parseDiskInfo(value: unknown): DiskInfo | undefined {
  const info = value as Partial<DiskInfo> | null | undefined;
  const isValid = typeof info?.vmId === "string" &&
    isPeerAddress(info) &&
    typeof info.failureDomain === "string" &&
    typeof info.region === "string" && typeof info.diskId === "string" &&
    typeof info.isRetiring === "boolean";
  return isValid ? info as DiskInfo : undefined;
}
