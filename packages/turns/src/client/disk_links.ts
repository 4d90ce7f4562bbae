/**
 * Calls the processes of disks, over one connection to each.
 */
import { PeerChannel } from "@camphorlock/channel";
import {
  type DiskMessage,
  type DiskResponse,
  parseDiskResponse,
} from "../messages.ts";
import type { DiskInfo } from "../model/turn_disk.ts";

/** Calls disks. */
export interface DiskCaller {
  /** Resolves to undefined when the disk doesn't respond in time. */
  call(
    disk: DiskInfo,
    message: DiskMessage,
    timeoutMs: number,
  ): Promise<DiskResponse | undefined>;
}

/** The connections to all disks, opened at their first use. */
export class DiskLinks implements DiskCaller {
  readonly #channels = new Map<string, PeerChannel>();

  async call(
    { host, port }: DiskInfo,
    message: DiskMessage,
    timeoutMs: number,
  ): Promise<DiskResponse | undefined> {
    const key = `${host}:${port}`;
    const channel = this.#channels.get(key) ?? new PeerChannel({ host, port });
    this.#channels.set(key, channel);
    return parseDiskResponse(await channel.call(message, timeoutMs));
  }

  /** Closes the connections to disks that are no longer registered. */
  removeUnlisted(disks: readonly DiskInfo[]): void {
    const listed = new Set(disks.map(({ host, port }) => `${host}:${port}`));
    for (const [key, channel] of this.#channels) {
      if (listed.has(key)) continue;
      channel.close();
      this.#channels.delete(key);
    }
  }

  close(): void {
    this.removeUnlisted([]);
  }
}
