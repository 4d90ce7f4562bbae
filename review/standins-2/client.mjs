/**
 * Clients: one that waits for its answer, and one that reads it late.
 */
import { request as sendRequest } from "node:http";
import { connect } from "node:net";

/**
 * Sends one request on a new connection, and reads nothing of the answer for
 * the first `pauseMs`, then all of it. Resolves once the connection has closed
 * or the answer is complete, to `{ status, bodyBytes, expectedBytes, isComplete,
 * error, sentMs, endedMs }`, times in milliseconds; never rejects. The answer
 * needs a length.
 */
export function callSlowly({ host, port, text, pauseMs }) {
  return new Promise((resolve) => {
    const sentMs = performance.now();
    const socket = connect({ host, port });
    let head = Buffer.alloc(0);
    let status;
    let expectedBytes;
    let bodyBytes = 0;
    let error;
    const end = () => {
      socket.destroy();
      resolve({
        status,
        bodyBytes,
        expectedBytes,
        isComplete: expectedBytes !== undefined && bodyBytes === expectedBytes,
        error,
        sentMs,
        endedMs: performance.now(),
      });
    };
    socket.on("connect", () => socket.write(text));
    socket.on("error", (caught) => error = caught.code);
    socket.on("close", end);
    socket.pause();
    setTimeout(() => socket.resume(), pauseMs);
    socket.on("data", (bytes) => {
      if (expectedBytes === undefined) {
        head = Buffer.concat([head, bytes]);
        const at = head.indexOf("\r\n\r\n");
        if (at < 0) return;
        const lines = head.subarray(0, at).toString("latin1");
        status = Number(lines.slice(9, 12));
        expectedBytes = Number(/content-length: (\d+)/i.exec(lines)?.[1] ?? 0);
        bodyBytes = head.length - at - 4;
      } else bodyBytes += bytes.length;
      if (bodyBytes >= expectedBytes) end();
    });
  });
}

/**
 * Sends one request on a new connection and reads the whole answer. Resolves to
 * `{ status, headers, body, isComplete, retryAfterS, error }`, with status 0 if
 * there was no answer within `timeoutMs`; never rejects.
 */
export function call({ host, port, method, path, headers, body, timeoutMs }) {
  return new Promise((resolve) => {
    const length = body === undefined
      ? {}
      : { "Content-Length": Buffer.byteLength(body) };
    const request = sendRequest({
      host,
      port,
      method,
      path,
      agent: false,
      headers: { ...headers, ...length },
    });
    const fail = (error) =>
      resolve({ status: 0, headers: {}, body: "", isComplete: false, error });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on("error", ({ code }) => fail(code));
    request.on("close", () => clearTimeout(timer));
    request.on("response", (response) => {
      const parts = [];
      const end = () =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(parts).toString(),
          isComplete: response.complete,
          retryAfterS: findNumber(response.headers["retry-after"]),
        });
      response.on("data", (part) => parts.push(part));
      response.on("error", end);
      response.on("close", end);
    });
    request.end(body);
  });
}

function findNumber(text) {
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
}
