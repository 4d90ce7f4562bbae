/**
 * What the gateway asks of its surroundings. An adapter implements these for
 * one platform; nothing in this package knows its names.
 */
import type { Result } from "neverthrow";
import type { RequestFields } from "./model/request_fields.ts";
import type { RoutingConfiguration } from "./model/routing.ts";
import type { Target } from "./model/target.ts";

/** Why a call to the platform's store gave no answer of use. */
export type StoreFailure =
  /** Nothing was done. */
  | { readonly kind: "refused"; readonly detail: string }
  /** A write may have been done, or may still be. */
  | { readonly kind: "uncertain"; readonly detail: string }
  /** The object isn't there. */
  | { readonly kind: "absent" }
  /** The object has another revision than the write named. */
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined }
  /** Changes since the named revision are no longer kept. */
  | { readonly kind: "history_gone" };

/** An object of the store. */
export interface StoredObject {
  readonly name: string;
  readonly revision: number;
  readonly value: unknown;
  readonly status: unknown;
}

/** All objects of a kind at one revision of the store. */
export interface StoredList {
  readonly objects: readonly StoredObject[];
  readonly revision: number;
}

/** A change of one object. */
export interface StoredChange {
  readonly object: StoredObject;
  readonly isRemoved: boolean;
}

/** Changes up to a revision of the store. */
export interface StoredChanges {
  readonly changes: readonly StoredChange[];
  readonly revision: number;
}

/** The kinds of objects that the gateway works with. */
export type ObjectKind =
  | "configuration"
  | "targets"
  | "retirements"
  | "tokenAccounts"
  | "accountShards"
  | "gateways";

/** Where a change is looked for. */
export interface WatchOptions {
  readonly afterRevision: number;
  readonly waitMs: number;
}

/** A write of one object's value; `revision` makes it conditional. */
export interface StoreWrite {
  readonly name: string;
  readonly value: unknown;
  readonly revision?: number;
}

/** The platform's store. No call rejects. */
export interface ObjectStore {
  list(kind: ObjectKind): Promise<Result<StoredList, StoreFailure>>;
  watch(
    kind: ObjectKind,
    options: WatchOptions,
  ): Promise<Result<StoredChanges, StoreFailure>>;
  find(
    kind: ObjectKind,
    name: string,
  ): Promise<Result<StoredObject, StoreFailure>>;
  create(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>>;
  update(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>>;
  /** Writes the status, which is apart from the value. */
  updateStatus(
    kind: ObjectKind,
    write: StoreWrite,
  ): Promise<Result<StoredObject, StoreFailure>>;
  close(): Promise<void>;
}

/** Headers of an answer, by lower-case name. */
export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** What the gateway adds to a request for one target. */
export interface TargetMarks {
  readonly targetId: string;
  /** Time that the target may still take. */
  readonly leftMs: number | undefined;
  /** Last event that the caller has; 0 when it has none. */
  readonly resumeAfter: number;
}

/** What an answer's headers say about the run. */
export interface AnswerMarks {
  /** The request that the answer belongs to, as the target echoes it. */
  readonly requestId: string | undefined;
  /** The target states that it didn't run the request. */
  readonly isNotRun: boolean;
  /** The status would tell a caller that the request wasn't run. */
  readonly impliesNotRun: boolean;
  /** The target's signature, without which no success counts. */
  readonly hasSignature: boolean;
}

/** How requests and answers look on the platform's wire. */
export interface RequestCodec {
  /** Decodes what a caller says; a text says what is wrong with it. */
  decodeRequest(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): Result<RequestFields, string>;
  /** Builds a target's headers from the caller's, names and values by turns. */
  encodeTargetHeaders(
    rawHeaders: readonly string[],
    marks: TargetMarks,
  ): string[];
  decodeAnswer(status: number, headers: AnswerHeaders): AnswerMarks;
  /** Picks the headers of an answer that its caller receives. */
  encodeAnswerHeaders(
    headers: AnswerHeaders,
  ): Record<string, string | string[]>;
}

/** Decoders of what others keep in the store. */
export interface StoreCodec {
  /** Decodes the operator's configuration; a text says what is wrong. */
  decodeConfiguration(value: unknown): Result<RoutingConfiguration, string>;
  /** Decodes a target's entry; a text says why it names none to use. */
  decodeTarget(object: StoredObject): Result<Target, string>;
}

/** Times within which the platform expects this process to act. */
export interface GatewayBounds {
  /** A changed configuration is in force within this time. */
  readonly configurationMs: number;
  /** A leaving target gets no new work after this time. */
  readonly drainMs: number;
  /** From SIGTERM to SIGKILL. */
  readonly graceMs: number;
}

/** What a gateway process is told at its start. */
export interface GatewaySettings {
  readonly vmId: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;
  readonly callers: Address;
  readonly readiness: Address;
  /** Where other gateways reach this one. */
  readonly peers: Address;
  /** Addresses of a few gateways, which may be stale. */
  readonly seeds: readonly Address[];
  readonly metrics: Address | undefined;
  readonly bounds: GatewayBounds;
}

/** A TCP address. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
