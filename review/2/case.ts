/**
 * Case 2: engines send streams that end with their connection; a gateway's
 * process is killed while it passes such streams on.
 */
import { callSystem } from "../standins/client.ts";
import { waitFor } from "../standins/deployment.ts";
import { buildStreamRun } from "../standins/engine.ts";
import { runCase } from "../standins/run_case.ts";
import { putStreamRoute, startEngines } from "../standins/services.ts";

const SERVICE = "models";
/** One of six is within the largest share of `node_kill`, 0.18. */
const GATEWAYS = 6;
const ENGINES = 3;
const SLOTS = 16;
const EVENTS = 16;
const GAP_MS = 100;
const CLIENTS_PER_GATEWAY = 3;
const DEADLINE_MS = 3_000;
const ROUNDS = 4;
/** Time between two kills; longer than `contactMs` and a restart. */
const ROUND_MS = 8_000;
/** `for_s` of `node_kill`. */
const DOWN_MS = 2_700;

await runCase("review/2", async ({ deployment, recorder, hasTrouble }) => {
  await startEngines({ deployment, recorder }, {
    service: SERVICE,
    count: ENGINES,
    slots: SLOTS,
    run: buildStreamRun({
      events: EVENTS,
      gapMs: GAP_MS,
      isChunked: false,
    }),
  });
  putStreamRoute({ deployment }, {
    service: SERVICE,
    timeoutMs: DEADLINE_MS,
    slots: SLOTS,
  });
  await deployment.start(GATEWAYS);
  const breaches: string[] = [];
  const down = new Set<number>();
  let isEnding = false;
  let lastId = 0;
  let complete = 0;
  let cut = 0;
  let refused = 0;
  const runStream = async (id: string, gateway: number) => {
    const answer = await callSystem({
      host: deployment.gateways[gateway]?.ip ?? "",
      port: deployment.ports.frontend,
      method: "POST",
      path: `/main/turn/${id}`,
      hostHeader: "shop.example",
      attemptId: id,
      deadlineMs: DEADLINE_MS,
      headers: {
        "X-Model": "m",
        "X-Token-Count": "1460,560",
        "X-Prompt-Prefix": `5c1e07a2:800,${id.replace(/\D/g, "")}:660`,
      },
      body: `prompt of ${id}`,
    }, recorder);
    if (answer.status !== 200) {
      refused += 1;
      return;
    }
    const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)]
      .map((match) => Number(match[1]));
    if (!answer.isComplete) {
      cut += 1;
      return;
    }
    complete += 1;
    const isWhole = ids.length === EVENTS &&
      ids.every((event, at) => event === at + 1);
    if (isWhole) return;
    breaches.push(
      `ORDER: ${id} through edge-${gateway + 1} ended as complete after ` +
        `${ids.length} of ${EVENTS} events`,
    );
  };
  const runClient = async (gateway: number) => {
    while (!isEnding) {
      lastId += 1;
      await runStream(`turn-${lastId}`, gateway);
      // The balancer sends no client to a node that is down.
      while (!isEnding && down.has(gateway)) await waitFor(100);
      await waitFor(100);
    }
  };
  const clients = Array.from(
    { length: GATEWAYS * CLIENTS_PER_GATEWAY },
    (_, at) => runClient(at % GATEWAYS),
  );
  for (let round = 0; round < ROUNDS; round += 1) {
    await waitFor(ROUND_MS - DOWN_MS);
    const machine = deployment.gateways[round % GATEWAYS];
    if (hasTrouble && machine !== undefined) {
      recorder.write("killed", { node: machine.name });
      down.add(round % GATEWAYS);
      machine.process?.kill("SIGKILL");
      await machine.ended;
    }
    await waitFor(DOWN_MS);
    if (!hasTrouble || machine === undefined) continue;
    deployment.startProcess(machine);
    while (!await deployment.isReady(machine)) await waitFor(100);
    down.delete(round % GATEWAYS);
  }
  isEnding = true;
  await Promise.all(clients);
  recorder.write("summary", { streams: lastId, complete, cut, refused });
  console.log(
    `${lastId} streams: ${complete} ended as complete, ${cut} broke off, ` +
      `${refused} others`,
  );
  const notPlayed = complete < lastId / 4
    ? "less than a quarter of the streams ended as complete"
    : undefined;
  return { breaches, notPlayed };
});
