/**
 * The HTTP server for callers: checks each request, finds its route and runs
 * it. Its limits come from the configuration in force.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { serveAt } from "@camphorlock/channel";
import { EVENTS } from "@camphorlock/codes/events";
import { measureHead } from "../decisions/head_bytes.ts";
import {
  type BodyLimits,
  type BodyReadResult,
  CallerExchange,
} from "../exchange/caller_exchange.ts";
import type { AcceptedRequest } from "../exchange/request_end.ts";
import type { RequestFields } from "../model/request_fields.ts";
import { computeFingerprint } from "../model/request_fingerprint.ts";
import type { CallerLimits, Route } from "../model/routing.ts";
import type { Address } from "../ports.ts";
import {
  AcceptedRequests,
  type AcceptedRequestsDependencies,
} from "./accepted_requests.ts";
import { buildBodyRefusal, buildVersionRefusal } from "./body_refusal.ts";
import type { ClientLimits } from "./client_limits.ts";
import { CallerConnections } from "./caller_connections.ts";
import { getCallerSocket, scheduleInput } from "./caller_socket.ts";
import { type Refusal, refuseRequest } from "./refuse_request.ts";
import type { ConfigurationAccess } from "../store/watch_components.ts";
import type { TenantKeys } from "../tenants/tenant_keys.ts";

/**
 * Longest wait of a request for the first configuration after a start, which
 * takes one or two calls to the store or another gateway.
 */
const CONFIGURATION_WAIT_MS = 250;
/** Events of one stream that wait at its target's and its caller's sockets. */
const STREAM_BYTES = 32_768;
/** How often Node.js checks connections against their time limits. */
const CHECK_INTERVAL_MS = 500;
/**
 * Added to the idle limit, so that a connection stays open for a caller that
 * reuses it just before the limit.
 */
const IDLE_MARGIN_MS = 1_000;

/** Dependencies of the server. */
export interface CallerServerDependencies
  extends AcceptedRequestsDependencies, ClientLimits, ConfigurationAccess {
  readonly keys: Pick<TenantKeys, "check">;
  /** Whether responses close their connections, to move callers elsewhere. */
  isDrainingConnections(): boolean;
}

/** The server for callers. */
export class CallerServer {
  readonly #dependencies: CallerServerDependencies;
  readonly #server: Server;
  readonly #connections: CallerConnections;
  readonly #accepted: AcceptedRequests;
  #openRequests = 0;

  constructor(dependencies: CallerServerDependencies) {
    this.#dependencies = dependencies;
    this.#accepted = new AcceptedRequests(dependencies);
    this.#connections = new CallerConnections(
      dependencies,
      dependencies.connectionBounds,
    );
    this.#server = createServer({
      keepAlive: true,
      noDelay: true,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      requestTimeout: 0,
    }, (request, response) => this.#handle(request, response));
    scheduleInput(this.#server, dependencies.input, this.#connections);
  }

  /** Number of requests whose callers haven't taken the whole response. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Starts to listen; rejects if the address can't be used. */
  serve({ host, port }: Address): Promise<void> {
    return serveAt(this.#server, { host, port, backlog: 1_024 });
  }

  /** Applies the limits of a configuration, to idle connections as well. */
  setLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    for (const socket of this.#connections.list()) {
      if (socket.timeout !== undefined && socket.timeout > 0) {
        socket.setTimeout(limits.idleTimeoutMs + IDLE_MARGIN_MS);
      }
    }
  }

  /** Accepts no further connections and closes idle ones. */
  stopListening(): void {
    this.#server.close();
  }

  /** Ends the open requests: with an error response, unless a stream began. */
  endRequests(): void {
    this.#accepted.endAll();
  }

  /** Repeats what may be repeated of the requests that have no answer. */
  resumeElsewhere(): void {
    this.#accepted.resumeElsewhere();
  }

  /** Ends the open requests that have just been blocked. */
  stopBlocked(): void {
    this.#accepted.stopBlocked();
  }

  /** Closes every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const connection = getCallerSocket(request);
    const closed = this.#connections.openRequest(connection, response);
    if (closed === undefined) return;
    connection.startRequest(request, response);
    const share = this.#dependencies.bytes.open();
    const caller = new CallerExchange(request, response, {
      share,
      waits: this.#dependencies.waits,
      streamWaits: this.#dependencies.streamWaits,
      isClosing: () => this.#dependencies.isDrainingConnections(),
      stopParsing: (maxBytes) => connection.stopParsing(maxBytes),
    });
    void closed.then(() => caller.recordClose());
    this.#openRequests += 1;
    try {
      await this.#serve(caller, performance.now());
    } catch (error) {
      // An unexpected error in one request must not end the other requests.
      this.#dependencies.log.write(EVENTS.RequestFailed, {
        url: request.url ?? "",
        detail: String(error),
      });
      caller.close();
    } finally {
      // The response is held until the caller has taken it.
      void closed.then(() => share.close())
        .then(() => this.#openRequests -= 1);
    }
  }

  async #serve(caller: CallerExchange, receivedAtMs: number): Promise<void> {
    if (!this.#connections.canRun) return this.#refuseRun(caller);
    const headBytes = measureHead(caller.request.rawHeaders);
    if (!caller.share.reserve(headBytes)) {
      return this.#refuse(caller, buildBodyRefusal("no_memory", { headBytes }));
    }
    const current = await this.#dependencies.waitForConfiguration(
      CONFIGURATION_WAIT_MS,
    );
    const { request } = caller;
    const decoded = this.#dependencies.codec.decodeRequest(request.headers);
    if (decoded.isErr()) {
      return this.#refuse(caller, {
        code: "HeaderInvalid",
        detail: decoded.error,
      });
    }
    const fields = decoded.value;
    if (current === undefined) {
      const detail = "no configuration received yet";
      return this.#refuse(caller, {
        code: "ConfigurationMissing",
        detail,
        fields,
      });
    }
    const { configuration, routes } = current;
    const route = routes.find(request.headers.host ?? "", request.url ?? "");
    if (route === undefined) {
      const detail =
        `no route in configuration version ${configuration.version}`;
      return this.#refuse(caller, {
        code: "RouteUnknown",
        detail,
        fields,
        configurationAgeMs: this.#dependencies.getConfigurationAgeMs(),
      });
    }
    const admission = this.#dependencies.keys
      .check({ key: fields.key, isPublic: route.isPublic });
    if (admission.isErr()) {
      return refuseRequest(this.#dependencies, caller, {
        ...admission.error,
        fields,
        configurationVersion: configuration.version,
      });
    }
    if (route.kind === "streaming" && !caller.canReadChunks) {
      return this.#refuse(caller, {
        ...buildVersionRefusal(request.httpVersion),
        fields,
      });
    }
    const limitMs = Math.min(
      route.timeoutMs,
      fields.deadlineMs ?? Number.POSITIVE_INFINITY,
    );
    const { limits, version } = configuration;
    const read = await this.#readBody(caller, route, {
      maxBytes: limits.maxBodyBytes,
      timeoutMs: limitMs - (performance.now() - receivedAtMs),
    });
    if (read.kind === "disconnected") return this.#logDisconnect(fields, route);
    if (read.kind !== "complete") {
      const { maxBodyBytes: maxBytes } = limits;
      const refusal = buildBodyRefusal(read.kind, { headBytes, maxBytes });
      return this.#refuse(caller, { ...refusal, fields });
    }
    await this.#run({
      caller,
      fields,
      route,
      tenant: admission.value.tenant,
      admission: admission.value,
      body: read.body,
      fingerprint: computeFingerprint({
        method: request.method,
        host: request.headers.host,
        url: request.url,
        body: read.body,
      }),
      receivedAtMs,
      limitMs,
      maxBodyBytes: limits.maxBodyBytes,
      configurationVersion: version,
    });
  }

  async #run(accepted: AcceptedRequest): Promise<void> {
    const { caller, fields } = accepted;
    const isRun = await this.#connections.run(
      getCallerSocket(caller.request),
      () => this.#accepted.run(accepted),
      {
        length: accepted.route.kind === "streaming" ? "long" : "short",
        waitForTarget: () => caller.targetEnded,
      },
    );
    if (!isRun) this.#refuseRun(caller, fields);
  }

  #refuseRun(caller: CallerExchange, fields?: RequestFields): void {
    // Makes room for the caller's next attempt.
    this.#dependencies.streamWaits.evictLongest(performance.now());
    const detail = "as many requests run as the process may have connections";
    this.#refuse(caller, { code: "ConnectionLimit", detail, fields });
  }

  #refuse(caller: CallerExchange, reason: Refusal): void {
    refuseRequest(this.#dependencies, caller, reason);
  }

  /** Reads the body; streams also need memory for events that wait. */
  #readBody(
    caller: CallerExchange,
    { kind }: Route,
    limits: BodyLimits,
  ): Promise<BodyReadResult> {
    if (kind === "streaming" && !caller.share.reserve(STREAM_BYTES)) {
      return Promise.resolve({ kind: "no_memory" });
    }
    return caller.readBody(limits);
  }

  #logDisconnect(fields: RequestFields, route: Route): void {
    this.#dependencies.log.write(EVENTS.RequestAbandoned, {
      request: fields.requestId,
      route: route.name,
      detail: "the caller disconnected before the request body was complete",
    });
  }
}
