import { err, ok } from "neverthrow";
import { decodeServices } from "./fake_store_test.ts";
import type { RoutingConfiguration } from "./model/routing.ts";
import type { Target } from "./model/target.ts";
import type { RequestCodec, StoreCodec, TargetCredentials } from "./ports.ts";

/** Where targets of the tests say when they started. */
export const IDENTITY_PATH = "/identity";

/** A wire format of the tests' own: headers under plain names. */
export const FIXTURE_REQUEST_CODEC: RequestCodec = {
  decodeRequest: (headers) => {
    const id = headers["id"];
    if (typeof id !== "string" || id === "") {
      return err("the request has no id");
    }
    const [programId, budget, turn] = String(headers["budget"] ?? "").split(
      ",",
    );
    return ok({
      requestId: id,
      deadlineMs: Number(headers["deadline"] ?? 5_000),
      programId,
      sessionId: undefined,
      key: headers["key"] as string | undefined,
      programLeftMs: undefined,
      budget: budget === undefined || programId === undefined
        ? undefined
        : { programId, budgetTokens: Number(budget), turnTokens: Number(turn) },
      prompt: [],
      promptTokens: undefined,
      maxOutputTokens: undefined,
      outputHint: undefined,
      previousTurnId: headers["previous"] as string | undefined,
      affinityKey: headers["object"] as string | undefined,
      resumeAfter: Number(headers["last-event"] ?? 0),
      resumedRequestId: headers["resumes"] as string | undefined,
    });
  },
  encodeTargetHeaders: (
    rawHeaders,
    { targetId, leftMs, resumeAfter, credentials },
  ) => [
    ...encodeCredentials(rawHeaders, credentials),
    "id",
    rawHeaders[rawHeaders.indexOf("id") + 1] ?? "",
    "target",
    targetId,
    "left",
    String(leftMs),
    "resume-after",
    String(resumeAfter),
  ],
  decodeResponse: (status, headers) => ({
    impliesNotRun: status === 503,
    requestId: headers["id"] as string | undefined,
    isNotRun: headers["not-run"] !== undefined,
    hasSignature: headers["signed"] !== undefined,
    isLeaving: headers["leaving"] !== undefined,
    requestsPerSecond: headers["limit"] === undefined
      ? undefined
      : Number(headers["limit"]),
  }),
  encodeResponseHeaders: (headers) => ({ signed: String(headers["signed"]) }),
  identityPath: IDENTITY_PATH,
  decodeIdentity: (body) => {
    const match = /^started (\d+)$/.exec(Buffer.from(body).toString());
    return match === null ? undefined : Number(match[1]);
  },
};

/** Forwards the caller's key and tenant only where no keys are needed. */
function encodeCredentials(
  rawHeaders: readonly string[],
  credentials: TargetCredentials | undefined,
): string[] {
  if (credentials !== undefined) {
    const { tenantName } = credentials;
    return tenantName === undefined ? [] : ["tenant", tenantName];
  }
  return ["key", "tenant"].flatMap((name) => {
    const at = rawHeaders.indexOf(name);
    return at < 0 ? [] : [name, rawHeaders[at + 1] ?? ""];
  });
}

/** Stored values are what they are decoded to. */
export const FIXTURE_STORE_CODEC: StoreCodec = {
  decodeConfiguration: ({ value }) =>
    (value as Partial<RoutingConfiguration>).routes === undefined
      ? err("unreadable")
      : ok(decodeServices(value as RoutingConfiguration)),
  // A configuration without routes may state its tenants nevertheless.
  decodeTenants: ({ value }) => {
    const { tenants } = value as Partial<RoutingConfiguration>;
    return tenants === undefined
      ? { kind: "unreadable" }
      : { kind: "read", tenants, problems: [] };
  },
  decodeTarget: ({ value }) =>
    value === "unreadable" ? err("unreadable") : ok(value as Target),
};
