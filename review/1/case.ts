/**
 * Case 1: engines that are full refuse orders; a faulty one writes a refusal
 * once more at the point where the next answer is expected on the connection.
 */
import type { Socket } from "node:net";
import { callSystem } from "../standins/client.ts";
import { waitFor } from "../standins/deployment.ts";
import type { EngineRun } from "../standins/engine.ts";
import { runCase } from "../standins/run_case.ts";
import { putOrderRoute, startEngines } from "../standins/services.ts";

const SERVICE = "orders";
const GATEWAYS = 3;
const ENGINES = 5;
const DEADLINE_MS = 1_500;
const SLOTS = 2;
const WORK_MS = 60;
const CLIENTS = 12;
const CLIENT_PAUSE_MS = 20;
/** `garble` with `extra late` in the site file: 0.6 of the engines, ... */
const FAULTY_ENGINES = 3;
/** ... 0.03 of their answers, ... */
const SPOILED_SHARE = 0.03;
/** ... for 5 s at a time. */
const FAULT_MS = 5_000;
const CALM_MS = 1_500;
const ROUNDS = 12;
/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

await runCase("review/1", async ({ deployment, recorder, hasTrouble }) => {
  const runs = new Map<string, number>();
  const answers = new Map<string, number>();
  let isFaulty = false;
  let repeated = 0;
  const run = async ({ response, attemptId }: EngineRun) => {
    runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1);
    await waitFor(WORK_MS);
    response.writeHead(200, { "Content-Length": "2" }).end("ok");
  };
  const engines = await startEngines({ deployment, recorder }, {
    service: SERVICE,
    count: ENGINES,
    slots: SLOTS,
    run,
  });
  for (const engine of engines.slice(0, FAULTY_ENGINES)) {
    const pending = new Map<Socket, string>();
    // Only refusals during the fault count as answers, which keeps the share
    // of spoiled ones among all answers below the limit.
    let sent = 0;
    let spoiled = 0;
    engine.onRefusal = (socket, refusal) => {
      if (!isFaulty) return;
      sent += 1;
      if (spoiled + 1 > sent * SPOILED_SHARE) return;
      spoiled += 1;
      pending.set(socket, refusal);
    };
    engine.onArrival = (socket) => {
      const refusal = pending.get(socket);
      pending.delete(socket);
      if (refusal === undefined) return;
      repeated += 1;
      recorder.write("refusal_repeated", { engine: engine.id, refusal });
      socket.write(refusal);
    };
  }
  putOrderRoute({ deployment }, { service: SERVICE, timeoutMs: DEADLINE_MS });
  await deployment.start(GATEWAYS);
  let isEnding = false;
  let lastId = 0;
  const runClient = async (client: number) => {
    while (!isEnding) {
      lastId += 1;
      const attemptId = `order-${lastId}`;
      const { status } = await callSystem({
        host: deployment.gateways[client % GATEWAYS]?.ip ?? "",
        port: deployment.ports.frontend,
        method: "POST",
        path: `/main/order/${lastId}`,
        hostHeader: "shop.example",
        attemptId,
        deadlineMs: DEADLINE_MS,
        body: `{"order":${lastId}}`,
      }, recorder);
      answers.set(attemptId, status);
      await waitFor(CLIENT_PAUSE_MS);
    }
  };
  const clients = Array.from({ length: CLIENTS }, (_, at) => runClient(at));
  for (let round = 0; round < ROUNDS; round += 1) {
    await waitFor(CALM_MS);
    isFaulty = hasTrouble;
    await waitFor(FAULT_MS);
    isFaulty = false;
  }
  isEnding = true;
  await Promise.all(clients);
  const breaches = [...runs].flatMap(([id, count]) => {
    const status = answers.get(id) ?? 0;
    return [
      ...count > 1 ? [`TWICE: ${id} ran ${count} times`] : [],
      ...NOT_RUN_STATUSES.includes(status)
        ? [`REFUSED: ${id} ran and was answered ${status}`]
        : [],
    ];
  });
  recorder.write("summary", { orders: lastId, repeated, runs: runs.size });
  console.log(`${lastId} orders, ${repeated} refusals repeated`);
  const notPlayed = hasTrouble && repeated === 0
    ? "no refusal was repeated"
    : undefined;
  return { breaches, notPlayed };
});
