import { type Decisions, Simulation } from "./simulated_gateways_test.ts";
const base = {
  gateways: 70,
  engines: 30,
  slots: 12,
  memoryTokens: 283_000,
  prefillTokensPerMs: 163,
  stepMs: 1.26,
  load: 0.75,
  sharedParts: 6,
  events: 10,
  tokensPerEvent: 27,
  durationMs: 15_000,
  seed: 1,
};
const even = () => 1;
const uneven = (e: number) => e % 4 === 0 ? 0.55 : 1.2;
const slow = (e: number, t: number) => e < 3 && t > 5_000 ? 0.3 : 1;
const phases = (e: number, t: number) =>
  uneven(e) * (((t / 400 | 0) + e * 7) % 13 === 0 ? 0.4 : 1);
const A = {
  slots: 8,
  memoryTokens: 314_000,
  prefillTokensPerMs: 368,
  stepMs: 0.758,
  sharedParts: 16,
  events: 6,
  tokensPerEvent: 46,
};
const tail = (r: number) => Math.min(300, 12 / Math.pow(1 - r, 0.6));
const only = process.argv[2];
const cases: Record<string, object> = {
  even: { speeds: even },
  uneven: { speeds: uneven },
  phases: { speeds: phases },
  slow: { speeds: slow },
  A: { ...A, speeds: (e: number) => 1 + (e % 4) / 10 },
  A95: { ...A, load: 0.9, speeds: (e: number) => 1 + (e % 4) / 10 },
  tail: { slots: 6, engines: 7, speeds: uneven, callMs: tail, load: 0.6 },
  hot: { speeds: uneven, hotDomainShare: 0.5 },
  over: { speeds: uneven, load: 0.95 },
  light: { speeds: uneven, load: 0.3 },
};
for (const [name, c] of Object.entries(cases)) {
  if (only && name !== only) continue;
  for (const decisions of ["fixed", "own", "view"] as Decisions[]) {
    const t = performance.now();
    const r = new Simulation({ ...base, ...c, decisions } as never).run();
    console.log(
      name.padEnd(7),
      decisions.padEnd(6),
      "mean",
      r.meanMs.toFixed(0),
      "p95",
      r.lateMs.toFixed(0),
      "later",
      r.laterMeanMs.toFixed(0),
      "read",
      (r.readTokens / 1e6).toFixed(2),
      "queue",
      r.longestQueue,
      "reqs",
      Math.min(...r.requests),
      Math.max(...r.requests),
      "slowshare",
      (r.requests.filter((_, i) => i % 4 === 0).reduce((a, b) => a + b, 0) /
        r.requests.reduce((a, b) => a + b, 0)).toFixed(2),
      "cpu",
      performance.now() - t | 0,
    );
  }
}
