/**
 * Case 4: an order crashes each engine that begins to run it. Its client comes
 * again in its own zone, where one engine of the service is nearest.
 */
import { callSystem } from "../standins/client.ts";
import { BOUNDS, waitFor } from "../standins/deployment.ts";
import type { Engine, EngineRun } from "../standins/engine.ts";
import { runCase } from "../standins/run_case.ts";
import { putOrderRoute, startEngines } from "../standins/services.ts";

const SERVICE = "orders";
const GATEWAYS = 6;
/** One a zone. */
const ENGINES = 3;
const DEADLINE_MS = 1_500;
const SLOTS = 6;
const WORK_MS = 100;
/** The engine is back after this time, on its address. */
const RESTART_MS = 1_500;
/** Three heartbeats, after which the store removes a silent engine's entry. */
const LAPSE_MS = 3_600;
/** Pause between two attempts at the order. */
const REPEAT_MS = 4_500;
const REPEATS = 12;
/** Retries later than `contactMs` after the third crash that are allowed. */
const ALLOWED_RETRIES = 3;
const CRASHING_PATH = "/main/order/crashing";

await runCase("review/4", async ({ deployment, recorder, hasTrouble }) => {
  const crashesAtMs: number[] = [];
  const reachedAtMs: number[] = [];
  let lost = 0;
  const restart = async (engine: Engine) => {
    const oldId = engine.id;
    engine.crash();
    setTimeout(() => deployment.store.remove("servers", oldId), LAPSE_MS);
    await waitFor(RESTART_MS);
    await engine.start();
    engine.register();
  };
  const run = async ({ engine, request, response }: EngineRun) => {
    if (request.url === CRASHING_PATH) {
      reachedAtMs.push(performance.now());
      if (hasTrouble) {
        crashesAtMs.push(performance.now());
        void restart(engine);
        return;
      }
    }
    await waitFor(WORK_MS);
    response.writeHead(200, { "Content-Length": "2" }).end("ok");
  };
  await startEngines({ deployment, recorder }, {
    service: SERVICE,
    count: ENGINES,
    slots: SLOTS,
    run,
  });
  putOrderRoute({ deployment }, { service: SERVICE, timeoutMs: DEADLINE_MS });
  await deployment.start(GATEWAYS);
  let isEnding = false;
  let lastId = 0;
  /** Orders of other clients, each through a node of its own. */
  const runClient = async (gateway: number) => {
    while (!isEnding) {
      lastId += 1;
      const { status } = await callSystem({
        host: deployment.gateways[gateway]?.ip ?? "",
        port: deployment.ports.frontend,
        method: "POST",
        path: `/main/order/${lastId}`,
        hostHeader: "shop.example",
        attemptId: `order-${lastId}`,
        deadlineMs: DEADLINE_MS,
        body: `{"order":${lastId}}`,
      }, recorder);
      if (status !== 200) lost += 1;
      await waitFor(50);
    }
  };
  // The balancer keeps a client at one node of its zone, by a hash.
  const [node] = deployment.gateways;
  const others = deployment.gateways
    .flatMap((gateway, at) => gateway === node ? [] : [runClient(at)]);
  const sentAtMs: number[] = [];
  for (let repeat = 0; repeat < REPEATS; repeat += 1) {
    sentAtMs.push(performance.now());
    await callSystem({
      host: node?.ip ?? "",
      port: deployment.ports.frontend,
      method: "POST",
      path: CRASHING_PATH,
      hostHeader: "shop.example",
      attemptId: `crashing-${repeat + 1}`,
      deadlineMs: DEADLINE_MS,
      body: '{"order":"crashing"}',
    }, recorder);
    await waitFor(REPEAT_MS);
  }
  isEnding = true;
  await Promise.all(others);
  const third = crashesAtMs[2];
  const late = third === undefined ? [] : sentAtMs.filter((sent, at) => {
    const next = sentAtMs[at + 1] ?? Number.POSITIVE_INFINITY;
    return sent > third + BOUNDS.contactMs &&
      reachedAtMs.some((reached) => reached > sent && reached < next);
  });
  recorder.write("summary", {
    crashes: crashesAtMs.length,
    late_retries_that_reached_engines: late.length,
    other_orders: lastId,
    other_orders_not_served: lost,
  });
  console.log(
    `${crashesAtMs.length} crashes, ${late.length} late retries reached ` +
      `engines, ${lost} of ${lastId} other orders weren't served`,
  );
  const breaches = late.length > ALLOWED_RETRIES
    ? [
      `BUDGET: the request reached engines in ${late.length} retries later ` +
      `than ${BOUNDS.contactMs} ms after the third crash`,
    ]
    : [];
  const notPlayed = reachedAtMs.length === 0
    ? "the order never reached an engine"
    : undefined;
  return { breaches, notPlayed };
});
