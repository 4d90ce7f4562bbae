/**
 * Copies the turns of other disks to this one.
 */
import { EVENTS } from "@camphorlock/codes/events";
import type { DiskCaller } from "../client/disk_links.ts";
import type { DiskLog } from "../disk_log.ts";
import type { DiskIdentity } from "../files/disk_identity.ts";
import { decodeTurns, type DiskResponse } from "../messages.ts";
import type { DiskInfo } from "../model/turn_disk.ts";
import type { DiskService } from "./disk_service.ts";

/** A page of turns crosses regions within this time. */
const CALL_TIMEOUT_MS = 1_500;
/** Pages copied from one disk at a time, so that others get their turn. */
const MAX_PAGES = 40;

/** Dependencies of a copier. */
export interface TurnCopierDependencies {
  readonly identity: Pick<DiskIdentity, "diskId">;
  readonly service: DiskService;
  readonly caller: DiskCaller;
  readonly log: DiskLog;
}

interface Progress {
  readonly numbering: string;
  readonly sequence: number;
  /** Whether a complete disk's turns were copied to the end. */
  readonly isFromComplete: boolean;
}

/** Copies turns page by page. */
export class TurnCopier {
  readonly #dependencies: TurnCopierDependencies;
  /** By the id of the source's contents. */
  readonly #progress = new Map<string, Progress>();

  constructor(dependencies: TurnCopierDependencies) {
    this.#dependencies = dependencies;
  }

  /** Copies what the sources hold beyond earlier copies. */
  async copyFrom(sources: readonly DiskInfo[]): Promise<void> {
    await Promise.all(sources.map((source) => this.#copyAll(source)));
  }

  /** Counts the complete disks whose turns were copied to the end. */
  countComplete(disks: readonly DiskInfo[]): number {
    return disks.filter(({ diskId }) =>
      this.#progress.get(diskId)?.isFromComplete === true
    ).length;
  }

  async #copyAll(source: DiskInfo): Promise<void> {
    for (let page = 0; page < MAX_PAGES; page += 1) {
      if (!await this.#copyPage(source)) return;
    }
  }

  /** Copies a page; false at the end or when the copy can't go on. */
  async #copyPage(source: DiskInfo): Promise<boolean> {
    const { identity, caller } = this.#dependencies;
    const before = this.#progress.get(source.diskId);
    const response = await caller.call(source, {
      kind: "list_turns",
      readerDiskId: identity.diskId,
      afterSequence: before?.sequence ?? 0,
      ...(before === undefined ? {} : { numbering: before.numbering }),
    }, CALL_TIMEOUT_MS);
    if (response?.answer.kind !== "listed") return false;
    // An address may belong to another disk by now.
    if (response.diskId !== source.diskId) return false;
    if (!await this.#savePage(source, response)) return false;
    const { lastSequence, numbering, isEnd, turns } = response.answer;
    const isCopied = isEnd && response.isComplete;
    this.#progress.set(source.diskId, {
      numbering,
      sequence: lastSequence,
      isFromComplete: isCopied || before?.isFromComplete === true,
    });
    // The call after the last page tells the source how far the copy is.
    return !isEnd || turns.length > 0;
  }

  async #savePage(
    source: DiskInfo,
    { answer }: DiskResponse,
  ): Promise<boolean> {
    if (answer.kind !== "listed") return false;
    const { service, log } = this.#dependencies;
    const turns = decodeTurns(answer.turns, performance.now());
    if (turns.isErr()) {
      log.write(EVENTS.DiskFailed, {
        detail: `a page of ${source.vmId} can't be decoded: ${turns.error}`,
      });
      return false;
    }
    const saved = await service.save(turns.value);
    if (saved.kind === "saved" && turns.value.length > 0) {
      log.write(EVENTS.TurnsCopied, {
        source: source.vmId,
        turns: turns.value.length,
      });
    }
    return saved.kind === "saved";
  }
}
