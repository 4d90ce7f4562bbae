/**
 * The platform's list of live and leaving VMs, which shows changes late.
 */
import type { ListedVm } from "@camphorlock/objects";
import type { Hono } from "hono";
import type { StandinEnv } from "../http_server.ts";

interface VmChange {
  readonly atMs: number;
  readonly vmId: string;
  /** Absent when the VM was removed. */
  readonly vm?: ListedVm;
}

/** A VM list that shows each change after a fixed lag. */
export class VmList {
  readonly #lagMs: number;
  #changes: VmChange[] = [];
  readonly #visible = new Map<string, ListedVm>();

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Adds a VM or changes its state. */
  set(vm: ListedVm, nowMs: number): void {
    this.#changes.push({ atMs: nowMs + this.#lagMs, vmId: vm.vmId, vm });
  }

  /** Removes a VM. */
  remove(vmId: string, nowMs: number): void {
    this.#changes.push({ atMs: nowMs + this.#lagMs, vmId });
  }

  /** Lists the VMs that the platform shows at `nowMs`. */
  list(nowMs: number): ListedVm[] {
    const due = this.#changes.filter((change) => change.atMs <= nowMs);
    this.#changes = this.#changes.filter((change) => change.atMs > nowMs);
    for (const { vmId, vm } of due) {
      if (vm === undefined) this.#visible.delete(vmId);
      else this.#visible.set(vmId, vm);
    }
    return [...this.#visible.values()];
  }
}

/** Adds `GET /v1/vms`. */
export function addVmRoutes(
  app: Hono<StandinEnv>,
  options: { readonly vms: VmList; readonly readNow: () => number },
): void {
  app.get(
    "/v1/vms",
    (context) => context.json({ vms: options.vms.list(options.readNow()) }),
  );
}
