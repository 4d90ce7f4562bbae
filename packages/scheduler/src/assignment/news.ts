/**
 * Spreads news of assignments between nodes, each a bounded number of times.
 */
import type {
  Effect,
  ShardAssignment,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { RandomChooser } from "../membership/random.ts";
import type { AssignmentSettings } from "./settings.ts";

interface NewsItem {
  readonly assignment: ShardAssignment;
  roundsLeft: number;
}

/** The news that this node still passes on. */
export class NewsQueue {
  readonly #settings: AssignmentSettings;
  readonly #random: RandomChooser;
  readonly #items = new Map<ShardId, NewsItem>();
  readonly #direct = new Map<VmId, Map<ShardId, ShardAssignment>>();

  constructor(settings: AssignmentSettings, random: RandomChooser) {
    this.#settings = settings;
    this.#random = random;
  }

  /** Passes an assignment on to random nodes, in place of an older one. */
  add(assignment: ShardAssignment): void {
    const { newsRounds } = this.#settings;
    const item = { assignment, roundsLeft: newsRounds };
    this.#items.set(assignment.shard, item);
  }

  /** Tells one node that is concerned. */
  addDirect(to: VmId, assignment: ShardAssignment): void {
    const news = this.#direct.get(to) ?? new Map();
    news.set(assignment.shard, assignment);
    this.#direct.set(to, news);
  }

  /** Whether there's nothing to pass on. */
  isEmpty(): boolean {
    return this.#items.size === 0 && this.#direct.size === 0;
  }

  /** Takes the messages of one round. */
  takeMessages(others: readonly VmId[]): Effect[] {
    const effects: Effect[] = [];
    for (const [to, news] of this.#direct) {
      this.#appendMessages(effects, { to, assignments: [...news.values()] });
    }
    this.#direct.clear();
    if (this.#items.size === 0) return effects;
    const assignments = this.#takeRound();
    const { newsFanout } = this.#settings;
    for (const to of this.#random.chooseSome(others, newsFanout)) {
      this.#appendMessages(effects, { to, assignments });
    }
    return effects;
  }

  #takeRound(): ShardAssignment[] {
    const assignments: ShardAssignment[] = [];
    for (const [shard, item] of this.#items) {
      assignments.push(item.assignment);
      item.roundsLeft -= 1;
      if (item.roundsLeft <= 0) this.#items.delete(shard);
    }
    return assignments;
  }

  #appendMessages(
    effects: Effect[],
    news: { to: VmId; assignments: readonly ShardAssignment[] },
  ): void {
    const { newsLimit } = this.#settings;
    for (let at = 0; at < news.assignments.length; at += newsLimit) {
      const assignments = news.assignments.slice(at, at + newsLimit);
      const message = { kind: "assignment_news", assignments } as const;
      effects.push({ kind: "send_peer", to: news.to, message });
    }
  }
}
