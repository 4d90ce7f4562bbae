/**
 * Encodes and decodes messages between nodes as MessagePack maps.
 */
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import { createFailure, type Failure } from "@camphorlock/codes";
import type { PeerMessage } from "@camphorlock/types";
import { isObject } from "./field_checks.ts";
import { findInvalidMessageField, isSupportedKind } from "./message_shapes.ts";

/** A received message, or the name of a kind that isn't supported. */
export type DecodedMessage =
  | { readonly kind: "known"; readonly message: PeerMessage }
  | { readonly kind: "unknown"; readonly messageKind: string };

const packr = new Packr({ useRecords: false });

/** Encodes a message. */
export function encodeMessage(message: PeerMessage): Buffer {
  return packr.pack(message);
}

/**
 * Decodes a message; fails on malformed bytes. A message that contains a
 * variant added by a later release is returned as unknown.
 */
export function decodeMessage(
  bytes: Uint8Array,
): Result<DecodedMessage, Failure> {
  const value = decodeValue(bytes);
  if (!isObject(value)) return refuse("the message is not a MessagePack map");
  const kind = value["kind"];
  if (typeof kind !== "string") return refuse("the message has no string kind");
  if (!isSupportedKind(kind)) return ok({ kind: "unknown", messageKind: kind });
  const invalid = findInvalidMessageField(kind, value);
  if (invalid?.result === "unknown_kind") {
    return ok({ kind: "unknown", messageKind: `${kind}.${invalid.field}` });
  }
  if (invalid !== undefined) return refuse(`invalid ${kind}.${invalid.field}`);
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
