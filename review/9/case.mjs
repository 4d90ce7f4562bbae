/**
 * Kept turns, of which an engine answers some with wrong bytes after the last
 * event.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call } from "../standins-2/client.mjs";
import { Engine } from "../standins-2/engine.mjs";
import { HAS_TROUBLE, runCase, wait } from "../standins-2/site.mjs";

const EVENTS = 7;
const EVENT_INTERVAL_MS = 10;
/** Blank lines behind the last event; no event, and no field of one. */
const WRONG_BYTES = "\n".repeat(16);
/** Of the faulty engine's answers each so many-th one, below 0.03 of them. */
const SPOILED_EACH = 34;
/** It does so for this long, as on the site's days. */
const SPOILING_MS = 5_000;
const PROGRAMS = 60;
const TURNS = 6;
/** Programs that run at the same time. */
const LANES = 15;
/** A turn that failed is sent again, at most so often. */
const TRIES = 4;
const BOUNDS = {
  contactMs: 4_000,
  drainMs: 4_000,
  configApplyMs: 4_000,
  recoveryS: 15,
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (site) => {
  /** The body that each attempt brought to its engine, by its id. */
  const bodies = new Map();
  let answers = 0;
  let spoilingUntilMs = 0;
  const createEngine = (id, isFaulty) =>
    new Engine({
      id,
      service: "brain",
      answer: (_request, response, { id: attempt, body, engine }) => {
        bodies.set(attempt, body.toString());
        if (isFaulty) answers += 1;
        const isSpoiled = isFaulty && answers % SPOILED_EACH === 0 &&
          performance.now() < spoilingUntilMs;
        site.record("engine", {
          id: attempt,
          engine: id,
          bytes: body.length,
          isSpoiled,
        });
        sendEvents(response, { id: attempt, engine, isSpoiled });
      },
    });
  const engines = [
    createEngine("i-1", HAS_TROUBLE),
    createEngine("i-2", false),
  ];
  for (const engine of engines) {
    await engine.start();
    site.addEngine(engine);
  }
  site.configure({
    routes: [{
      name: "r-1",
      host: "brain.example",
      pathPrefix: "/turn/",
      routeType: "streaming",
      timeoutMs: 4_000,
      targetLatencyMs: 312,
      priority: 0,
      service: "brain",
      attempts: 1,
      serverHistory: true,
      retentionS: 60,
      sticky: true,
      resumable: false,
      targetGapMs: 400,
    }],
    services: [{
      name: "brain",
      healthPath: "/healthz",
      maxConnections: 500,
      engine: { slots: 16, kvCapacityTokens: 283_148, chunkTokens: 27 },
    }],
  });
  const storages = [];
  for (const at of [1, 2, 3]) {
    storages.push(
      await site.addStorage(`storage-${at}`, `127.0.0.${at}`, {
        bounds: BOUNDS,
      }),
    );
  }
  const gateway = await site.addGateway("edge-1", "127.0.0.1", {
    bounds: BOUNDS,
  });
  for (const each of [...storages, gateway]) each.start();
  await gateway.waitUntilReady();
  await wait(BOUNDS.contactMs);
  const broken = [];
  spoilingUntilMs = performance.now() + SPOILING_MS;
  let started = 0;
  const runLane = async () => {
    while (started < PROGRAMS) {
      started += 1;
      broken.push(
        ...await runProgram(site, { gateway, bodies, at: started }),
      );
    }
  };
  await Promise.all(Array.from({ length: LANES }, runLane));
  return broken;
});

/** Sends all events, and wrong bytes behind them if the answer is spoiled. */
function sendEvents(response, { id, engine, isSpoiled }) {
  response.writeHead(200, {
    ...engine.buildHeaders(id),
    "Content-Type": "text/event-stream",
  });
  let number = 0;
  const timer = setInterval(() => {
    number += 1;
    response.write(`id: ${number}\ndata: ${id} ${number}\n\n`);
    if (number < EVENTS) return;
    clearInterval(timer);
    if (isSpoiled) response.write(WRONG_BYTES);
    response.end();
  }, EVENT_INTERVAL_MS);
  response.on("close", () => clearInterval(timer));
}

/** Runs the turns of one program; resolves to the bodies that were wrong. */
async function runProgram(site, { gateway, bodies, at }) {
  const broken = [];
  let previous;
  let chain = "";
  for (let turn = 1; turn <= TURNS; turn += 1) {
    const input = `<input ${turn} of program ${at}>`;
    let ended;
    for (
      let attempt = 1;
      attempt <= TRIES && ended === undefined;
      attempt += 1
    ) {
      const id = `program-${at}-turn-${turn}-try-${attempt}`;
      const answer = await call({
        host: gateway.ip,
        port: gateway.callerPort,
        method: "POST",
        path: `/turn/${at}`,
        body: input,
        timeoutMs: 5_000,
        headers: {
          Host: "brain.example",
          "X-Attempt-Id": id,
          "X-Deadline-Ms": "4000",
          "X-Program-Id": `program-${at}`,
          "X-Session-Id": `line-${at}`,
          "X-Program-Deadline-Ms": "30000",
          "X-Token-Budget": "4536",
          "X-Token-Count": "1840,567",
          ...(previous === undefined ? {} : { "X-Previous-Turn": previous }),
        },
      });
      const body = bodies.get(id);
      if (body !== undefined && body !== chain + input) {
        broken.push(
          `UNASKED: ${id} ran with a body of ${body.length} bytes, and its ` +
            `chain and input have ${(chain + input).length}`,
        );
        site.record("wrong body", { id, body, expected: chain + input });
      }
      const data = [...answer.body.matchAll(/^id: \d+\ndata: (.*)$/gm)]
        .map(([, text]) => text);
      site.record("answered", {
        id,
        status: answer.status,
        isComplete: answer.isComplete,
        events: data.length,
      });
      const isWhole = answer.status === 200 && answer.isComplete &&
        data.length === EVENTS;
      if (isWhole) ended = { id, data };
      else await wait(200);
    }
    if (ended === undefined) return broken;
    previous = ended.id;
    chain += input + ended.data.map((text) => `${text}\n`).join("");
  }
  return broken;
}
