/**
 * The hosts of the shards that this node owns, by shard.
 */
import {
  type AttemptId,
  type Effect,
  type Epoch,
  type OwnerMessage,
  parseShardOf,
  type ProgramId,
  type ProgramView,
  type ShardAssignment,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import { ShardHost } from "./shard_host.ts";
import type { ShardHostDependencies } from "./shard_host_dependencies.ts";
import type { ShardHostInput, ShardHostStep } from "./shard_host_input.ts";

/** A shard whose recovery is complete. */
export interface RecoveredNotice {
  readonly shard: ShardId;
  readonly epoch: Epoch;
}

/** The effects of the hosts, and the shards that they recovered. */
export interface ShardHostsStep {
  readonly effects: readonly Effect[];
  readonly recovered: readonly RecoveredNotice[];
}

/** Routes inputs to the hosted shards. */
export class ShardHosts {
  readonly #dependencies: ShardHostDependencies;
  readonly #hosts = new Map<ShardId, ShardHost>();

  constructor(dependencies: ShardHostDependencies) {
    this.#dependencies = dependencies;
  }

  /** Counts the hosted shards, and those that serve requests. */
  countShards(): { readonly hosted: number; readonly serving: number } {
    const hosts = [...this.#hosts.values()];
    const serving = hosts.filter((host) => host.isServing).length;
    return { hosted: hosts.length, serving };
  }

  /** Lists the shards that serve requests. */
  listServing(): ShardId[] {
    return [...this.#hosts]
      .filter(([, host]) => host.isServing)
      .map(([shard]) => shard);
  }

  /** Starts hosting a shard under a new epoch. */
  add(assignment: ShardAssignment, nowMs: number): ShardHostsStep {
    const previous = this.#hosts.get(assignment.shard);
    const unsent = new Set(previous?.listUnsent());
    const host = new ShardHost(assignment, this.#dependencies, unsent);
    this.#hosts.set(assignment.shard, host);
    return this.#applyStep(assignment.shard, host.start(nowMs));
  }

  /** Stops hosting a shard, unless a later epoch of it is hosted. */
  remove(shard: ShardId, epoch: Epoch): void {
    const host = this.#hosts.get(shard);
    if (host !== undefined && host.epoch <= epoch) this.#hosts.delete(shard);
  }

  /** Handles an input for one shard; ignores it if the shard isn't hosted. */
  handle(
    shard: ShardId | undefined,
    input: ShardHostInput,
    nowMs: number,
  ): ShardHostsStep {
    const host = shard === undefined ? undefined : this.#hosts.get(shard);
    if (host === undefined || shard === undefined) return NO_STEP;
    return this.#applyStep(shard, host.handle(input, nowMs));
  }

  /** Handles an input for every shard. */
  handleAll(input: ShardHostInput, nowMs: number): ShardHostsStep {
    const effects: Effect[] = [];
    const recovered: RecoveredNotice[] = [];
    for (const shard of [...this.#hosts.keys()]) {
      const step = this.handle(shard, input, nowMs);
      effects.push(...step.effects);
      recovered.push(...step.recovered);
    }
    return { effects, recovered };
  }

  /** Handles a request, or responds that this node doesn't own the shard. */
  handleRequest(
    from: VmId,
    message: Extract<OwnerMessage, { kind: "owner_request" }>,
    nowMs: number,
  ): ShardHostsStep {
    const { shard, requestId } = message;
    if (this.#hosts.has(shard)) {
      return this.handle(shard, { kind: "request", from, message }, nowMs);
    }
    const response = { kind: "not_owner", requestId, shard } as const;
    return {
      effects: [{
        kind: "send_peer",
        to: from,
        message: { ...response, knownEpoch: 0 },
      }],
      recovered: [],
    };
  }

  /** Closes every log, so that the next owner needs no replica to recover. */
  closeAll(nowMs: number): ShardHostsStep {
    const effects: Effect[] = [];
    for (const [shard, host] of [...this.#hosts]) {
      const step = this.#applyStep(shard, host.close(nowMs));
      effects.push(...step.effects);
    }
    return { effects, recovered: [] };
  }

  /** Lists the shards with attempts whose outcome only this node can receive. */
  listBusy(): ShardId[] {
    return [...this.#hosts]
      .filter(([, host]) => host.countServiceAttempts() > 0)
      .map(([shard]) => shard);
  }

  /** Counts the attempts whose outcome only this node can receive. */
  countServiceAttempts(): number {
    return [...this.#hosts.values()]
      .reduce((sum, host) => sum + host.countServiceAttempts(), 0);
  }

  /** Lists the programs of every hosted shard. */
  listPrograms(): ProgramView[] {
    return [...this.#hosts.values()].flatMap((host) => host.listPrograms());
  }

  #applyStep(shard: ShardId, step: ShardHostStep): ShardHostsStep {
    const recovered: RecoveredNotice[] = [];
    for (const notice of step.notices) {
      const epoch = this.#hosts.get(shard)?.epoch ?? 0;
      if (notice.kind === "ended") this.#hosts.delete(shard);
      else recovered.push({ shard, epoch });
    }
    return { effects: step.effects, recovered };
  }
}

const NO_STEP: ShardHostsStep = { effects: [], recovered: [] };

/** Finds the shard of an attempt from the program id that its id begins with. */
export function findAttemptShard(attemptId: AttemptId): ShardId | undefined {
  const programId: ProgramId = attemptId.split(".")[0] ?? "";
  return parseShardOf(programId);
}
