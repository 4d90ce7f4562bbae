/**
 * Messages between nodes to and from bytes: MessagePack with named fields.
 */
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import { createFailure, type Failure } from "@camphorlock/codes";
import type { PeerMessage } from "@camphorlock/types";
import { isObject } from "./field_checks.ts";
import { findBadField, isKnownKind } from "./message_shapes.ts";

/** A received message, or the kind that this release doesn't know. */
export type DecodedMessage =
  | { readonly kind: "known"; readonly message: PeerMessage }
  | { readonly kind: "unknown"; readonly messageKind: string };

const packr = new Packr({ useRecords: false });

/** Encodes a message. */
export function encodeMessage(message: PeerMessage): Buffer {
  return packr.pack(message);
}

/**
 * Decodes a message; fails on anything that isn't one. A variant within it
 * that only a later release knows makes the whole message unknown.
 */
export function decodeMessage(
  bytes: Uint8Array,
): Result<DecodedMessage, Failure> {
  const value = decodeValue(bytes);
  if (!isObject(value)) return refuse("the message isn't a map");
  const kind = value["kind"];
  if (typeof kind !== "string") return refuse("the message has no kind");
  if (!isKnownKind(kind)) return ok({ kind: "unknown", messageKind: kind });
  const misfit = findBadField(kind, value);
  if (misfit?.fit === "unknown_kind") {
    return ok({ kind: "unknown", messageKind: `${kind}.${misfit.field}` });
  }
  if (misfit !== undefined) return refuse(`${kind}.${misfit.field}`);
  return ok({ kind: "known", message: value as unknown as PeerMessage });
}

function refuse(detail: string): Result<DecodedMessage, Failure> {
  return err(createFailure("PeerFrameInvalid", detail));
}

function decodeValue(bytes: Uint8Array): unknown {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
}
