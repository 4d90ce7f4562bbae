/**
 * Mutual TLS between nodes, from the settings.
 */
import { readFileSync } from "node:fs";
import {
  ChannelCredentials,
  credentials,
  ServerCredentials,
} from "@grpc/grpc-js";
import { err, ok, type Result } from "neverthrow";
import { createFailure, type Failure } from "@camphorlock/codes";

/** PEM text, or the path of a PEM file. */
export type PemSource =
  | { readonly kind: "pem"; readonly text: string }
  | { readonly kind: "path"; readonly path: string };

/** How connections between nodes are secured. */
export type PeerSecurity =
  /** Without TLS, for development on one machine. */
  | { readonly kind: "plain" }
  | {
    readonly kind: "tls";
    /** The authority that signs every node's certificate. */
    readonly authority: PemSource;
    readonly certificate: PemSource;
    readonly key: PemSource;
    /** The DNS name in every node's certificate. */
    readonly serverName: string;
  };

/** The gRPC credentials of the server and clients of a node. */
export interface PeerCredentials {
  readonly server: ServerCredentials;
  readonly client: ChannelCredentials;
  /** Channel options that the client's credentials require. */
  readonly channelOptions: Readonly<Record<string, string>>;
}

/** Loads the credentials of a node. */
export function loadCredentials(
  security: PeerSecurity,
): Result<PeerCredentials, Failure> {
  if (security.kind === "plain") return ok(createPlainCredentials());
  const { serverName } = security;
  return loadPem(security.authority).andThen((authority) =>
    loadPem(security.certificate).andThen((certificate) =>
      loadPem(security.key).andThen((key) =>
        createTlsCredentials({ authority, certificate, key, serverName })
      )
    )
  );
}

function createPlainCredentials(): PeerCredentials {
  return {
    server: ServerCredentials.createInsecure(),
    client: credentials.createInsecure(),
    channelOptions: {},
  };
}

function createTlsCredentials(
  options: {
    authority: Buffer;
    certificate: Buffer;
    key: Buffer;
    serverName: string;
  },
): Result<PeerCredentials, Failure> {
  const { authority, certificate, key, serverName } = options;
  const pair = { "private_key": key, "cert_chain": certificate };
  try {
    return ok({
      server: ServerCredentials.createSsl(authority, [pair], true),
      client: credentials.createSsl(authority, key, certificate),
      channelOptions: {
        "grpc.ssl_target_name_override": serverName,
        "grpc.default_authority": serverName,
      },
    });
  } catch (error) {
    return err(createFailure("PeerTlsInvalid", String(error)));
  }
}

function loadPem(source: PemSource): Result<Buffer, Failure> {
  if (source.kind === "pem") return ok(Buffer.from(source.text));
  try {
    return ok(readFileSync(source.path));
  } catch (error) {
    return err(createFailure("PeerTlsInvalid", String(error)));
  }
}
