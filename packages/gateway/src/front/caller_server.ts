/**
 * The HTTP server for callers: checks each request, finds its route and runs
 * it. Its limits follow the configuration in force.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { EVENTS } from "@camphorlock/codes/events";
import {
  RESULT_CODES,
  type ResultCodeName,
} from "@camphorlock/codes/result_codes";
import { CallerExchange } from "../exchange/caller_exchange.ts";
import type { ExchangeParts } from "../exchange/exchange_parts.ts";
import type { AcceptedRequest } from "../exchange/request_end.ts";
import { RequestRun } from "../exchange/request_run.ts";
import type { RequestFields } from "../model/request_fields.ts";
import type { CallerLimits, Route } from "../model/routing.ts";
import type { Address } from "../ports.ts";
import type { ConfigurationInForce } from "../store/known_state.ts";
import type { TurnAccounts } from "../accounts/turn_accounts.ts";

/**
 * How long callers of a process that just started wait for its configuration,
 * which takes a call or two to the store or another gateway.
 */
const START_WAIT_MS = 250;
/** When a caller may return while the gateway can't serve anyone. */
const NOT_READY_RETURN_MS = 300;
/** How often the library looks for connections that are over their limits. */
const CHECK_INTERVAL_MS = 500;
/** Callers wait up to this part of the limit before they reuse a connection. */
const IDLE_MARGIN_MS = 1_000;

/** What the server works with. */
export interface CallerServerParts extends ExchangeParts {
  readonly accounts: TurnAccounts;
  getConfiguration(): ConfigurationInForce | undefined;
  /** Waits for the first configuration, for `limitMs` at most. */
  waitForConfiguration(
    limitMs: number,
  ): Promise<ConfigurationInForce | undefined>;
  /** Whether answers close their connections, so that callers go elsewhere. */
  isTurningAway(): boolean;
}

/** The server for callers. */
export class CallerServer {
  readonly #parts: CallerServerParts;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #open = 0;

  constructor(parts: CallerServerParts) {
    this.#parts = parts;
    this.#server = createServer({
      keepAlive: true,
      noDelay: true,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      requestTimeout: 0,
    }, (request, response) => this.#handle(request, response));
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /** Requests that have no final answer yet. */
  get openRequests(): number {
    return this.#open;
  }

  /** Listens; rejects when the address can't be used. */
  serve({ host, port }: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: 1_024 }, () => resolve());
    });
  }

  /** Puts the limits of a configuration in force, for idle callers as well. */
  setLimits(limits: CallerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    for (const socket of this.#sockets) {
      if (socket.timeout !== undefined && socket.timeout > 0) {
        socket.setTimeout(limits.idleTimeoutMs + IDLE_MARGIN_MS);
      }
    }
  }

  /** Takes no further connections and closes those without a request. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
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
    const caller = new CallerExchange(
      request,
      response,
      () => this.#parts.isTurningAway(),
    );
    this.#open += 1;
    try {
      await this.#serve(caller, performance.now());
    } catch (error) {
      // A defect met by one request must not end those beside it.
      this.#parts.log.write(EVENTS.RequestFailed, {
        url: request.url ?? "",
        detail: String(error),
      });
      caller.close();
    } finally {
      this.#open -= 1;
    }
  }

  async #serve(caller: CallerExchange, receivedAtMs: number): Promise<void> {
    const inForce = await this.#parts.waitForConfiguration(START_WAIT_MS);
    const { request } = caller;
    const decoded = this.#parts.codec.decodeRequest(request.headers);
    if (decoded.isErr()) {
      return this.#refuse(caller, {
        code: "HeaderInvalid",
        detail: decoded.error,
      });
    }
    const fields = decoded.value;
    if (inForce === undefined) {
      const detail = "no configuration is known yet";
      return this.#refuse(caller, {
        code: "ConfigurationMissing",
        detail,
        fields,
      });
    }
    const { configuration, routes } = inForce;
    const route = routes.find(request.headers.host ?? "", request.url ?? "");
    if (route === undefined) {
      const detail = `version ${configuration.version}`;
      return this.#refuse(caller, { code: "RouteUnknown", detail, fields });
    }
    const read = await caller.readBody(configuration.limits.maxBodyBytes);
    switch (read.kind) {
      case "gone":
        return this.#logLeft(fields, route);
      case "too_large": {
        const detail = `over ${configuration.limits.maxBodyBytes} bytes`;
        return this.#refuse(caller, { code: "BodyTooLarge", detail, fields });
      }
      case "whole":
        return await this.#runTurn({
          caller,
          fields,
          route,
          body: read.body,
          receivedAtMs,
          configurationVersion: configuration.version,
        });
    }
  }

  async #runTurn(accepted: AcceptedRequest): Promise<void> {
    const { fields, caller } = accepted;
    const { accounts } = this.#parts;
    const { budget } = fields;
    if (budget === undefined || accepted.route.kind !== "streaming") {
      await new RequestRun(this.#parts, accepted).run();
      return;
    }
    const startedAtMs = performance.now();
    const opening = await accounts.open({
      ...budget,
      turnId: fields.requestId,
      eventTokens: this.#findEventTokens(accepted.route),
    });
    const { metrics } = this.#parts;
    metrics.record("admission", performance.now() - startedAtMs);
    if (opening.kind !== "admitted") {
      const isOver = opening.kind === "over_budget";
      if (isOver) metrics.add("turns_over_budget");
      return this.#refuse(caller, {
        code: isOver ? "TurnOverBudget" : "AccountUnavailable",
        detail: `budget of ${budget.budgetTokens} tokens`,
        fields,
      });
    }
    await new RequestRun(this.#parts, accepted, opening.grant).run();
    opening.grant.close();
  }

  /** Finds the tokens of an event; 0 if the configuration doesn't tell. */
  #findEventTokens(route: Route): number {
    const services = this.#parts.getConfiguration()?.configuration.services;
    const tokens = route.services
      .map(({ service }) => services?.get(service)?.tokensPerEvent ?? 0);
    return tokens.includes(0) ? 0 : Math.max(...tokens);
  }

  #refuse(
    caller: CallerExchange,
    reason: { code: ResultCodeName; detail: string; fields?: RequestFields },
  ): void {
    const code = RESULT_CODES[reason.code];
    const { detail, fields } = reason;
    this.#parts.metrics.add("requests_refused");
    const isTemporary = code.httpStatus === 503;
    caller.sendOwn({
      code,
      detail,
      ...(isTemporary ? { retryAfterMs: NOT_READY_RETURN_MS } : {}),
    });
    this.#parts.log.write(EVENTS.RequestRefused, {
      request: fields?.requestId,
      program: fields?.programId,
      code: code.code,
      detail,
    } as never);
  }

  #logLeft(fields: RequestFields, route: Route): void {
    this.#parts.log.write(EVENTS.RequestAbandoned, {
      request: fields.requestId,
      route: route.name,
      detail: "the caller left before its body was whole",
    });
  }
}
