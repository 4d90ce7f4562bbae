/**
 * A worker thread that streams tokens at a fixed pace, or as fast as clients
 * read them.
 *
 * Each step writes one chunk of one token to each open stream, as an engine
 * does, and skips streams whose socket buffer is full.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import { z } from "zod";

const WORKER_DATA = z.object({
  tokensPerStream: z.int().positive(),
  stepMs: z.number().nonnegative(),
});
const ATTEMPT_HEADER = /camphorlock-attempt: (\S+)/i;
const END_OF_REQUEST = "]";
const WORD = "token12 ";
const IDLE_MS = 1;

interface OpenStream {
  readonly socket: Socket;
  readonly attemptId: string;
  sent: number;
}

const { tokensPerStream, stepMs } = WORKER_DATA.parse(workerData);
const streams = new Set<OpenStream>();

const server = createServer((socket) => {
  socket.setNoDelay(true);
  let request = "";
  socket.on("data", (bytes) => {
    request += bytes.toString("latin1");
    const attemptId = ATTEMPT_HEADER.exec(request)?.[1];
    if (attemptId === undefined || !request.includes(END_OF_REQUEST)) return;
    request = "";
    startStream(socket, attemptId);
  });
  socket.on("error", () => socket.destroy());
});

server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  parentPort?.postMessage(`127.0.0.1:${port}`);
  writeStep();
});

function startStream(socket: Socket, attemptId: string): void {
  socket.write(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" +
      `camphorlock-attempt: ${attemptId}\r\n` +
      "transfer-encoding: chunked\r\n\r\n",
  );
  streams.add({ socket, attemptId, sent: 0 });
}

function writeStep(): void {
  const startedAtMs = performance.now();
  for (const stream of streams) {
    if (stream.socket.destroyed) streams.delete(stream);
    else if (!stream.socket.writableNeedDrain) writeToken(stream);
  }
  const periodMs = streams.size === 0 ? IDLE_MS : stepMs;
  const waitMs = periodMs - (performance.now() - startedAtMs);
  if (waitMs > 0) setTimeout(writeStep, waitMs);
  else setImmediate(writeStep);
}

function writeToken(stream: OpenStream): void {
  const { socket, attemptId } = stream;
  if (stream.sent < tokensPerStream) {
    const offset = stream.sent * WORD.length;
    stream.sent += 1;
    const choices =
      `[{"index":0,"delta":{"content":"${WORD}"},"finish_reason":null}]`;
    writeChunk(
      socket,
      `{"id":"${attemptId}","object":"chat.completion.chunk",` +
        `"offset":${offset},"choices":${choices}}`,
    );
    return;
  }
  streams.delete(stream);
  const usage = `{"prompt_tokens":1,"completion_tokens":${tokensPerStream}}`;
  const choices = '[{"index":0,"delta":{},"finish_reason":"stop"}]';
  writeChunk(
    socket,
    `{"id":"${attemptId}","choices":${choices},"usage":${usage}}`,
  );
  writeChunk(socket, "[DONE]");
  socket.write("0\r\n\r\n");
}

function writeChunk(socket: Socket, data: string): void {
  const event = `data: ${data}\n\n`;
  socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
}
