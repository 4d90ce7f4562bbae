/**
 * One process of a virtual fleet: membership and configuration, connected as in
 * a node, without the node's other roles.
 */
import {
  Configuration,
  CONFIGURATION_TICK_MS,
  type ConfigurationInput,
  type ConfigurationNotice,
  type ConfigurationOptions,
  Membership,
  type MembershipStep,
} from "@camphorlock/scheduler";
import {
  checkNever,
  type Effect,
  type NodeSpec,
  type PeerMessage,
  type VmListing,
} from "@camphorlock/types";

const MEMBERSHIP_TICK_MS = 100;
const VIEW_TICK_MS = 1_000;

/** Options of a process. */
export interface ConfigurationNodeOptions {
  readonly spec: NodeSpec;
  readonly seed: number;
  readonly vms: readonly VmListing[];
  readonly initial?: ConfigurationOptions["initial"];
  readonly keptRevisions?: number;
  /** Applies an effect. */
  readonly applyEffect: (effect: Effect) => void;
  /** Receives the notices of the configuration role. */
  readonly addNotice: (notice: ConfigurationNotice) => void;
}

/** A process with membership and configuration. */
export class ConfigurationNode {
  readonly spec: NodeSpec;
  readonly configuration: Configuration;
  readonly #membership: Membership;
  readonly #options: ConfigurationNodeOptions;
  #nextMembershipMs = 0;
  #nextConfigurationMs = 0;
  #nextViewMs = 0;

  constructor(options: ConfigurationNodeOptions, nowMs: number) {
    const { spec, seed, initial, keptRevisions } = options;
    this.#options = options;
    this.spec = spec;
    this.#membership = new Membership({ self: spec, seed });
    this.configuration = new Configuration({
      self: spec.vmId,
      incarnation: spec.incarnation,
      region: spec.region,
      ...(initial === undefined ? {} : { initial }),
      ...(keptRevisions === undefined ? {} : { keptRevisions }),
    });
    const vms = options.vms;
    const input = { kind: "vm_list", vms } as const;
    this.#applyMembership(this.#membership.handle(input, nowMs));
  }

  /** The membership role of this process. */
  get membership(): Membership {
    return this.#membership;
  }

  /** Ticks the roles whose next tick is due. */
  handleTick(nowMs: number): void {
    if (nowMs >= this.#nextMembershipMs) {
      this.#nextMembershipMs = nowMs + MEMBERSHIP_TICK_MS;
      const step = this.#membership.handle({ kind: "tick" }, nowMs);
      this.#applyMembership(step);
    }
    if (nowMs >= this.#nextViewMs) {
      this.#nextViewMs = nowMs + VIEW_TICK_MS;
      this.#sendView(nowMs);
    }
    if (nowMs < this.#nextConfigurationMs) return;
    this.#nextConfigurationMs = nowMs + CONFIGURATION_TICK_MS;
    this.handle({ kind: "tick" }, nowMs);
  }

  /** Handles a message from another process. */
  handlePeer(from: NodeSpec, message: PeerMessage, nowMs: number): void {
    switch (message.kind) {
      case "heartbeat":
      case "heartbeat_ack": {
        const { revision } = message;
        const { vmId } = from;
        this.handle({ kind: "peer_revision", vmId, revision }, nowMs);
        const input = { kind: "peer", from: vmId, message } as const;
        this.#applyMembership(this.#membership.handle(input, nowMs));
        return;
      }
      case "probe_request":
      case "probe_result": {
        const input = { kind: "peer", from: from.vmId, message } as const;
        this.#applyMembership(this.#membership.handle(input, nowMs));
        return;
      }
      case "configuration_request":
      case "configuration_offer":
        this.handle({ kind: "peer", from: from.vmId, message }, nowMs);
        return;
      default:
        return;
    }
  }

  /** Passes an input to the configuration role. */
  handle(input: ConfigurationInput, nowMs: number): void {
    const step = this.configuration.handle(input, nowMs);
    for (const notice of step.notices) this.#applyNotice(notice, nowMs);
    for (const effect of step.effects) this.#options.applyEffect(effect);
  }

  #applyNotice(notice: ConfigurationNotice, nowMs: number): void {
    this.#options.addNotice(notice);
    switch (notice.kind) {
      case "in_force": {
        const { revision } = notice;
        const input = { kind: "revision", revision } as const;
        this.#applyMembership(this.#membership.handle(input, nowMs));
        return;
      }
      case "ready":
      case "cut_off":
      case "change_accepted":
      case "change_refused":
      case "change_uncertain":
      case "change_in_force":
      case "change_spreading":
        return;
      default:
        checkNever(notice);
    }
  }

  #applyMembership(step: MembershipStep): void {
    for (const effect of step.effects) this.#options.applyEffect(effect);
  }

  #sendView(nowMs: number): void {
    const view = this.#membership.view();
    const isCutOff = this.#membership.isCutOff(nowMs);
    const listed = this.#options.vms.map(({ vmId }) => vmId);
    this.handle({ kind: "members", view, isCutOff, listed }, nowMs);
  }
}
