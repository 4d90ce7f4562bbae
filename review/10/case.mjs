/**
 * Agent programs that begin after all gateways were killed and started again.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call } from "../standins-2/client.mjs";
import { Engine } from "../standins-2/engine.mjs";
import { HAS_TROUBLE, runCase, wait } from "../standins-2/site.mjs";

/** Tokens of one event, and events of a turn, as the configuration says. */
const CHUNK_TOKENS = 27;
const EVENTS = 21;
/** The most that a turn generates, which it does here. */
const TURN_TOKENS = CHUNK_TOKENS * EVENTS;
/** The budget of the program; eight turns, as in the pages' example. */
const BUDGET_TURNS = 8;
const BUDGET_TOKENS = BUDGET_TURNS * TURN_TOKENS;
const PROGRAMS = 5;
/** Tries of a turn; five without an engine break the rule. */
const TRIES = 6;
/** The program's aim, later than the case takes. */
const AIM_MS = 60_000;
const DOWN_MS = 500;
/** Share of first turns that have to reach an engine. */
const FIRST_SHARE = 0.9;
/** Bounds of the site, and what was lost has to be back by `recoveryS`. */
const BOUNDS = {
  contactMs: 4_000,
  drainMs: 4_000,
  configApplyMs: 4_000,
  recoveryS: 15,
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (site) => {
  const engines = [];
  for (const id of ["i-1", "i-2"]) {
    const engine = new Engine({ id, service: "brain", answer: answerTurn });
    await engine.start();
    site.addEngine(engine);
    engines.push(engine);
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
      engine: {
        slots: 16,
        kvCapacityTokens: 283_148,
        chunkTokens: CHUNK_TOKENS,
      },
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
  const gateways = [
    await site.addGateway("edge-1", "127.0.0.1", { bounds: BOUNDS }),
    await site.addGateway("edge-2", "127.0.0.2", { bounds: BOUNDS }),
  ];
  for (const each of [...storages, ...gateways]) each.start();
  await Promise.all(gateways.map((each) => each.waitUntilReady()));
  await wait(BOUNDS.recoveryS * 1_000);
  if (HAS_TROUBLE) {
    for (const each of gateways) each.signal("SIGKILL");
    await Promise.all(gateways.map((each) => each.ended));
    await wait(DOWN_MS);
    for (const each of gateways) {
      // The whole system starts for the first time only once.
      each.settings = each.settings.replace(
        "bootstrap = true",
        "bootstrap = false",
      );
      each.start();
    }
    await Promise.all(gateways.map((each) => each.waitUntilReady()));
    await wait(BOUNDS.recoveryS * 1_000);
  }
  site.record("programs begin", {});
  const firstTurns = [];
  const broken = await Promise.all(
    Array.from(
      { length: PROGRAMS },
      (_, at) =>
        runProgram(site, {
          gateways,
          engines,
          firstTurns,
          name: `program-${at}`,
        }),
    ),
  );
  // The rule speaks of times in which nine tenths of first turns reach an engine.
  const firstTries = firstTurns.length;
  const reached = firstTurns.filter(({ ran }) => ran).length;
  site.record("first turns", { firstTries, reached });
  return reached >= firstTries * FIRST_SHARE ? broken.flat() : [];
});

/** Streams the turn's events, the most that it declares. */
function answerTurn(_request, response, { id, engine }) {
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
    response.end();
  }, 5);
  response.on("close", () => clearInterval(timer));
}

/**
 * Runs as many turns of one program as its budget holds, each at another
 * gateway. Resolves to the turns that reached no engine.
 */
async function runProgram(site, { gateways, engines, firstTurns, name }) {
  const startedMs = performance.now();
  let previous;
  let handedTokens = 0;
  for (let turn = 1; turn <= BUDGET_TURNS; turn += 1) {
    const tries = [];
    let isServed = false;
    for (let attempt = 1; attempt <= TRIES && !isServed; attempt += 1) {
      const id = `${name}-turn-${turn}-try-${attempt}`;
      const gateway = gateways[(turn + attempt) % gateways.length];
      const answer = await call({
        host: gateway.ip,
        port: gateway.callerPort,
        method: "POST",
        path: `/turn/${name}`,
        body: `${name} ${turn} `,
        timeoutMs: 5_000,
        headers: {
          Host: "brain.example",
          "X-Attempt-Id": id,
          "X-Deadline-Ms": "4000",
          "X-Program-Id": name,
          "X-Session-Id": `${name}-line`,
          "X-Program-Deadline-Ms": String(
            Math.round(AIM_MS - (performance.now() - startedMs)),
          ),
          "X-Token-Budget": String(BUDGET_TOKENS),
          "X-Token-Count": `1840,${TURN_TOKENS}`,
          ...(previous === undefined ? {} : { "X-Previous-Turn": previous }),
        },
      });
      const events = answer.body.split("\n\n").length - 1;
      const isWhole = answer.status === 200 && answer.isComplete &&
        events === EVENTS;
      const ran = engines.some(({ runs }) => runs.some((run) => run.id === id));
      if (answer.status === 200) handedTokens += events * CHUNK_TOKENS;
      tries.push({ id, status: answer.status, ran });
      if (turn === 1) firstTurns.push({ id, ran });
      site.record("turn", {
        id,
        gateway: gateway.name,
        status: answer.status,
        events,
        ran,
        handedTokens,
        text: answer.status === 200 ? undefined : answer.body,
      });
      if (isWhole) {
        isServed = true;
        previous = id;
      } else await wait((answer.retryAfterS ?? 0.3) * 1_000);
    }
    const isLost = previous !== undefined && tries.length >= 5 &&
      tries.every(({ ran }) => !ran) &&
      handedTokens + TURN_TOKENS <= BUDGET_TOKENS;
    if (isLost) {
      const statuses = tries.map(({ status }) => status).join(" ");
      return [
        `LOST: turn ${turn} of ${name} names ${previous}, which was answered ` +
        `whole, and reached no engine in ${tries.length} tries (${statuses}); ` +
        `${handedTokens} of ${BUDGET_TOKENS} tokens were used`,
      ];
    }
    if (!isServed) return [];
  }
  return [];
}
