/**
 * Stand-in for a client: sends one request on a new connection and reads the
 * answer as any HTTP/1.1 client does.
 */
import { request as sendRequest } from "node:http";
import type { Recorder } from "./recorder.ts";

/** One client attempt. */
export interface ClientCall {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly hostHeader: string;
  readonly attemptId: string;
  readonly deadlineMs: number;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** What the client saw. */
export interface ClientAnswer {
  /** 0 if no status line arrived. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the answer is complete by the rules of HTTP/1.1. */
  readonly isComplete: boolean;
  /** Why it isn't; empty otherwise. */
  readonly error: string;
}

/** Sends a request; resolves to what was seen, never rejects. */
export function callSystem(
  call: ClientCall,
  recorder: Recorder,
): Promise<ClientAnswer> {
  const { host, port, method, path, attemptId, deadlineMs } = call;
  recorder.write("sent", { attempt: attemptId, method, path, node: host });
  return new Promise((resolve) => {
    let status = 0;
    let headers: ClientAnswer["headers"] = {};
    let body = "";
    let hasEnded = false;
    const end = (isComplete: boolean, error: string) => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      const events = body.match(/^id: \d+$/gm)?.length;
      recorder.write("answered", {
        attempt: attemptId,
        status,
        is_complete: isComplete,
        events,
        error: error === "" ? undefined : error,
      });
      resolve({ status, headers, body, isComplete, error });
    };
    const outgoing = sendRequest({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        Host: call.hostHeader,
        "X-Attempt-Id": attemptId,
        "X-Deadline-Ms": String(deadlineMs),
        ...(call.body === undefined
          ? {}
          : { "Content-Length": String(Buffer.byteLength(call.body)) }),
        ...call.headers,
      },
    }, (response) => {
      status = response.statusCode ?? 0;
      headers = response.headers;
      response.setEncoding("utf8");
      response.on("data", (chunk: string) => body += chunk);
      response.on("error", (error) => end(false, error.message));
      response.on("end", () => end(response.complete, ""));
      response.on("close", () => end(response.complete, "closed"));
    });
    outgoing.on("error", (error) => end(false, error.message));
    const timer = setTimeout(() => {
      end(false, "the deadline has passed");
      outgoing.destroy();
    }, deadlineMs);
    outgoing.end(call.body);
  });
}
