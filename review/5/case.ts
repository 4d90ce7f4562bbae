/**
 * Case 5: the storage machines are replaced one after another; then a
 * gateway is killed, and clients take their streams up at others.
 */
import { callSystem, type ClientAnswer } from "../standins/client.ts";
import { waitFor } from "../standins/deployment.ts";
import { buildStreamRun } from "../standins/engine.ts";
import { runCase } from "../standins/run_case.ts";
import { putStreamRoute, startEngines } from "../standins/services.ts";

const SERVICE = "models";
/** One of six is within the largest share of `node_kill`, 0.18. */
const GATEWAYS = 6;
const ENGINES = 8;
const SLOTS = 16;
const EVENTS = 20;
const GAP_MS = 100;
const CLIENTS_PER_GATEWAY = 16;
const DEADLINE_MS = 3_000;
/**
 * First loss, after the start of the gateways: they read the list of storage
 * machines at their start, three times at intervals of 5 s, then every 30 s.
 */
const FIRST_LOSS_MS = 14_500;
/** Pause between two `replace_core` on stores on the site's day trouble-2. */
const REPLACE_GAP_MS = 9_100;
/** `replace_core` on a store: the new machine comes after 2 s. */
const REPLACED_AFTER_MS = 2_000;
/** A client's tries at taking a stream up. */
const TAKE_UP_TRIES = 2;
/** Streams that have to be taken up for the rule to apply. */
const MIN_TAKE_UPS = 12;

await runCase("review/5", async ({ deployment, recorder, hasTrouble }) => {
  await startEngines({ deployment, recorder }, {
    service: SERVICE,
    count: ENGINES,
    slots: SLOTS,
    run: buildStreamRun({ events: EVENTS, gapMs: GAP_MS, isChunked: true }),
  });
  putStreamRoute({ deployment }, {
    service: SERVICE,
    timeoutMs: DEADLINE_MS,
    slots: SLOTS,
  });
  const startedAtMs = performance.now();
  await deployment.start(GATEWAYS);
  const down = new Set<number>();
  let isEnding = false;
  let isCounting = false;
  let lastId = 0;
  let asked = 0;
  let begun = 0;
  let taken = 0;
  let goneOn = 0;
  const send = (
    gateway: number,
    { number, attemptId, leftMs, headers }: {
      readonly number: number;
      readonly attemptId: string;
      readonly leftMs: number;
      readonly headers: Readonly<Record<string, string>>;
    },
  ) =>
    callSystem({
      host: deployment.gateways[gateway]?.ip ?? "",
      port: deployment.ports.frontend,
      method: "POST",
      path: `/main/turn/${number}`,
      hostHeader: "shop.example",
      attemptId,
      deadlineMs: leftMs,
      headers: {
        "X-Model": "m",
        "X-Token-Count": "1460,700",
        "X-Prompt-Prefix": `5c1e07a2:800,${number}:660`,
        ...headers,
      },
      body: `prompt of ${number}`,
    }, recorder);
  /** Takes a stream up; true if it goes on. */
  const takeUp = async (
    gateway: number,
    { number, first, lastEvent, endAtMs }: {
      readonly number: number;
      readonly first: string;
      readonly lastEvent: number;
      readonly endAtMs: number;
    },
  ): Promise<boolean> => {
    for (let attempt = 1; attempt <= TAKE_UP_TRIES; attempt += 1) {
      let other = gateway;
      do other = (other + 1) % GATEWAYS; while (down.has(other));
      const leftMs = Math.round(endAtMs - performance.now());
      if (leftMs < 100) return false;
      const answer = await send(other, {
        number,
        attemptId: `${first}-${attempt}`,
        leftMs,
        headers: { "Last-Event-Id": String(lastEvent), Resumes: first },
      });
      if (answer.status === 200 && findLastEvent(answer) > lastEvent) {
        return true;
      }
      const afterS = Number(answer.headers["retry-after"] ?? 0.1);
      await waitFor(Math.min(afterS * 1_000, leftMs / 3));
    }
    return false;
  };
  const runClient = async (gateway: number, delayMs: number) => {
    await waitFor(delayMs);
    while (!isEnding) {
      lastId += 1;
      const number = lastId;
      const first = `turn-${number}`;
      const endAtMs = performance.now() + DEADLINE_MS;
      const isCounted = isCounting;
      const answer = await send(gateway, {
        number,
        attemptId: first,
        leftMs: DEADLINE_MS,
        headers: {},
      });
      const lastEvent = findLastEvent(answer);
      if (isCounted) asked += 1;
      if (isCounted && lastEvent > 0) begun += 1;
      if (!answer.isComplete && lastEvent > 0 && down.has(gateway)) {
        taken += 1;
        const hasGoneOn = await takeUp(gateway, {
          number,
          first,
          lastEvent,
          endAtMs,
        });
        if (hasGoneOn) goneOn += 1;
        recorder.write("taken_up", { first, gone_on: hasGoneOn });
      }
      // The balancer sends no client to a node that is down.
      while (!isEnding && down.has(gateway)) await waitFor(50);
      await waitFor(50);
    }
  };
  // Spread over the length of a stream.
  const stepMs = EVENTS * GAP_MS / CLIENTS_PER_GATEWAY;
  const clients = Array.from(
    { length: GATEWAYS * CLIENTS_PER_GATEWAY },
    (_, at) => runClient(at % GATEWAYS, Math.floor(at / GATEWAYS) * stepMs),
  );
  const waitUntil = (sinceStartMs: number) =>
    waitFor(startedAtMs + sinceStartMs - performance.now());
  for (const [index, machine] of [...deployment.disks].entries()) {
    await waitUntil(FIRST_LOSS_MS + index * REPLACE_GAP_MS);
    if (!hasTrouble) continue;
    recorder.write("gone", { node: machine.name });
    machine.process?.kill("SIGKILL");
    await machine.ended;
    await waitFor(REPLACED_AFTER_MS);
    const successor = deployment.addDisk(machine.zone, false);
    recorder.write("added", { node: successor.name });
    deployment.startProcess(successor);
  }
  isCounting = true;
  // The last successor has had `catchUpS` since the core is stable.
  await waitUntil(FIRST_LOSS_MS + deployment.zones.length * REPLACE_GAP_MS);
  const [killed] = deployment.gateways;
  recorder.write("killed", { node: killed?.name });
  down.add(0);
  killed?.process?.kill("SIGKILL");
  await waitFor(DEADLINE_MS);
  isEnding = true;
  await Promise.all(clients);
  const beginShare = begun / Math.max(1, asked);
  const goOnShare = goneOn / Math.max(1, taken);
  recorder.write("summary", { asked, begun, taken, gone_on: goneOn });
  console.log(
    `${begun} of ${asked} new streams began, ${goneOn} of ${taken} that were ` +
      "taken up went on",
  );
  const breaches = taken >= MIN_TAKE_UPS && goOnShare < beginShare / 2
    ? [
      `LOST: ${goneOn} of ${taken} streams that were taken up went on, ` +
      `${begun} of ${asked} new ones began`,
    ]
    : [];
  const notPlayed = taken < MIN_TAKE_UPS
    ? `only ${taken} streams were taken up`
    : undefined;
  return { breaches, notPlayed };
});

/** Finds the number of the last event; 0 if there is none. */
function findLastEvent({ status, body }: ClientAnswer): number {
  if (status !== 200) return 0;
  const ids = [...body.matchAll(/^id: (\d+)\n.*\n\n/gm)];
  return Number(ids.at(-1)?.[1] ?? 0);
}
