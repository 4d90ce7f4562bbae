/**
 * Streams that may be resumed, from an engine that sends wrong bytes in the
 * middle and breaks off.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call } from "../standins-2/client.mjs";
import { Engine } from "../standins-2/engine.mjs";
import { BOUNDS, HAS_TROUBLE, runCase, wait } from "../standins-2/site.mjs";

/** Events of each stream, numbered from 1. */
const EVENTS = 7;
const EVENT_INTERVAL_MS = 20;
/** After so many events the faulty engine breaks off. */
const EVENTS_BEFORE_BREAK = 3;
/** Blank lines that it sends before that; no event, and no field of one. */
const WRONG_BYTES = "\n".repeat(16);
/** Of the faulty engine's answers each so many-th one, below 0.03 of them. */
const SPOILED_EACH = 34;
/** It does so for this long, as on the site's days. */
const SPOILING_MS = 5_000;
/** Streams, and how many of them run at the same time. */
const STREAMS = 600;
const LANES = 20;
const TIMEOUT_MS = 3_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (site) => {
  const log = (id, engine, fields) =>
    site.record("engine", { id, engine: engine.id, ...fields });
  let answers = 0;
  let spoilingUntilMs = 0;
  const faulty = new Engine({
    id: "i-1",
    service: "brain",
    answer: (request, response, { id, engine }) => {
      const after = Number(request.headers["last-event-id"] ?? 0);
      answers += 1;
      const isSpoiled = answers % SPOILED_EACH === 0 &&
        performance.now() < spoilingUntilMs;
      log(id, engine, { after, isSpoiled });
      if (!isSpoiled) {
        return sendEvents(
          response,
          { id, engine, after, last: EVENTS },
          () => response.end(),
        );
      }
      sendEvents(
        response,
        { id, engine, after, last: EVENTS_BEFORE_BREAK },
        () => {
          if (HAS_TROUBLE) response.write(WRONG_BYTES);
          setTimeout(() => request.socket.destroy(), EVENT_INTERVAL_MS);
        },
      );
    },
  });
  const sound = new Engine({
    id: "i-2",
    service: "brain",
    answer: (request, response, { id, engine }) => {
      const after = Number(request.headers["last-event-id"] ?? 0);
      log(id, engine, { after });
      sendEvents(
        response,
        { id, engine, after, last: EVENTS },
        () => response.end(),
      );
    },
  });
  for (const engine of [faulty, sound]) {
    await engine.start();
    site.addEngine(engine);
  }
  site.configure({
    routes: [{
      name: "r-1",
      host: "brain.example",
      pathPrefix: "/stream/",
      routeType: "streaming",
      timeoutMs: TIMEOUT_MS,
      targetLatencyMs: 300,
      priority: 0,
      service: "brain",
      attempts: 2,
      resumable: true,
      targetGapMs: 250,
    }],
    services: [{ name: "brain", healthPath: "/healthz", maxConnections: 180 }],
  });
  const gateway = await site.addGateway("edge-1", "127.0.0.1");
  gateway.start();
  await gateway.waitUntilReady();
  await wait(BOUNDS.contactMs);
  const broken = [];
  spoilingUntilMs = performance.now() + SPOILING_MS;
  let started = 0;
  const runLane = async () => {
    while (started < STREAMS) {
      started += 1;
      await runStream(started);
    }
  };
  const runStream = async (at) => {
    const id = `stream-${at}`;
    const answer = await call({
      host: gateway.ip,
      port: gateway.callerPort,
      method: "POST",
      path: `/stream/${at}`,
      body: "prompt",
      timeoutMs: TIMEOUT_MS + 1_000,
      headers: {
        Host: "brain.example",
        "X-Attempt-Id": id,
        "X-Deadline-Ms": String(TIMEOUT_MS),
      },
    });
    const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)]
      .map(([, number]) => Number(number));
    site.record("answered", {
      id,
      status: answer.status,
      isComplete: answer.isComplete,
      ids,
    });
    // A stream that was broken off may lack its end; one that ended may not.
    const isWhole = ids.length === EVENTS &&
      ids.every((number, index) => number === index + 1);
    if (answer.status === 200 && answer.isComplete && !isWhole) {
      broken.push(
        `ORDER: ${id} ended as complete with the events ${ids.join(" ")} ` +
          `of ${EVENTS}`,
      );
    }
  };
  await Promise.all(Array.from({ length: LANES }, runLane));
  return broken;
});

/** Sends the events after one number up to another, then calls `end`. */
function sendEvents(response, { id, engine, after, last }, end) {
  response.writeHead(200, {
    ...engine.buildHeaders(id),
    "Content-Type": "text/event-stream",
  });
  response.flushHeaders();
  let number = after;
  const timer = setInterval(() => {
    if (number >= last) {
      clearInterval(timer);
      return end();
    }
    number += 1;
    response.write(`id: ${number}\ndata: ${engine.service} ${number}\n\n`);
  }, EVENT_INTERVAL_MS);
  response.on("close", () => clearInterval(timer));
}
