/**
 * Client of the platform's list of live and leaving VMs, which lags behind the
 * actual state.
 */
import type { Failure } from "@camphorlock/codes";
import type { Result } from "neverthrow";
import { z } from "zod";
import { PeerConnection } from "@camphorlock/http";
import { readJson } from "@camphorlock/http";

const LISTED_VM = z.object({
  vmId: z.string(),
  address: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  state: z.enum(["live", "leaving"]),
});
const VM_LIST = z.object({ vms: z.array(LISTED_VM) });

/** A VM as the platform lists it. */
export type ListedVm = Readonly<z.infer<typeof LISTED_VM>>;

/** Client of the VM list. */
export class VmListClient {
  readonly #connection: PeerConnection;

  constructor(options: { readonly baseUrl: string }) {
    this.#connection = new PeerConnection(options);
  }

  /** Lists the VMs. Fails with `PlatformUnavailable`. */
  async list(): Promise<Result<readonly ListedVm[], Failure>> {
    const read = await readJson(this.#connection, {
      path: "/v1/vms",
      schema: VM_LIST,
      failure: "PlatformUnavailable",
    });
    return read.map((document) => document.vms);
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#connection.close();
  }
}
