import type { GrantRecords } from "./grant_records.ts";

/** Records in memory that outlast the gateways, as those on disks do. */
export class MemoryGrantRecords implements GrantRecords {
  readonly parts = new Map<string, number>();
  canSave = true;
  /** Whether the disks respond. */
  isReachable = true;

  save(programId: string, parts: number): Promise<boolean> {
    if (!this.isReachable) return Promise.resolve(false);
    const known = this.parts.get(programId) ?? 0;
    this.parts.set(programId, Math.max(known, parts));
    return Promise.resolve(true);
  }

  find(programId: string): Promise<number | undefined> {
    const parts = this.parts.get(programId) ?? 0;
    return Promise.resolve(this.isReachable ? parts : undefined);
  }
}
