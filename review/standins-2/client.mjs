/**
 * Clients that read at a pace of their own.
 */
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
