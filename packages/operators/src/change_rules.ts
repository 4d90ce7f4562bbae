/**
 * The grammar rules for changes of the configuration.
 */
import type {
  BudgetKind,
  ChangeCommand,
  CostClass,
  PartnerShare,
  TargetSpec,
} from "@camphorlock/types";
import { Comma, getKeyword } from "./tokens.ts";
import { WordRules } from "./word_rules.ts";

/** The grammar rules for changes. */
export class ChangeRules extends WordRules {
  protected readonly set = this.RULE("set", (): ChangeCommand => {
    this.CONSUME(getKeyword("set"));
    return this.OR<ChangeCommand>([
      { ALT: () => this.SUBRULE(this.setBudget) },
      { ALT: () => this.SUBRULE(this.setPrice) },
      { ALT: () => this.SUBRULE(this.setPolicy) },
      { ALT: () => this.SUBRULE(this.setTeam) },
      { ALT: () => this.SUBRULE(this.setTarget) },
    ]);
  });

  protected readonly setBudget = this.RULE("setBudget", (): ChangeCommand => {
    this.CONSUME(getKeyword("budget"));
    const scope = this.SUBRULE(this.budgetScope);
    this.CONSUME(getKeyword("to"));
    const limitMicros = this.SUBRULE(this.money);
    return { kind: "set_budget", ...scope, limitMicros };
  });

  protected readonly budgetScope = this.RULE(
    "budgetScope",
    (): { budget: BudgetKind; name: string } => {
      return this.OR<{ budget: BudgetKind; name: string }>([
        {
          ALT: () => {
            this.CONSUME(getKeyword("program"));
            this.OPTION(() => this.CONSUME(getKeyword("default")));
            return { budget: "program", name: "default" };
          },
        },
        {
          ALT: () => {
            this.CONSUME(getKeyword("team"));
            return { budget: "team", name: this.SUBRULE(this.word) };
          },
        },
        {
          ALT: () => {
            this.CONSUME(getKeyword("partner"));
            return { budget: "partner", name: this.SUBRULE(this.partner) };
          },
        },
      ]);
    },
  );

  protected readonly setPrice = this.RULE("setPrice", (): ChangeCommand => {
    this.CONSUME(getKeyword("price"));
    return this.OR<ChangeCommand>([
      { ALT: () => this.SUBRULE(this.modelPrice) },
      { ALT: () => this.SUBRULE(this.servicePrice) },
    ]);
  });

  protected readonly modelPrice = this.RULE("modelPrice", (): ChangeCommand => {
    this.CONSUME(getKeyword("model"));
    const model = this.SUBRULE(this.word);
    const part = this.OR<"prompt" | "cached" | "completion">([
      { ALT: () => this.readKeyword("prompt") },
      { ALT: () => this.readKeyword("cached") },
      { ALT: () => this.readKeyword("completion") },
    ]);
    this.CONSUME(getKeyword("to"));
    const micros = this.SUBRULE(this.money);
    return { kind: "set_model_price", model, part, micros };
  });

  protected readonly servicePrice = this.RULE(
    "servicePrice",
    (): ChangeCommand => {
      this.CONSUME(getKeyword("service"));
      const service = this.SUBRULE(this.word);
      this.CONSUME(getKeyword("to"));
      const micros = this.SUBRULE(this.money);
      return { kind: "set_service_price", service, micros };
    },
  );

  protected readonly setPolicy = this.RULE("setPolicy", (): ChangeCommand => {
    this.CONSUME(getKeyword("policy"));
    const name = this.SUBRULE(this.word);
    this.CONSUME(getKeyword("to"));
    const value = this.SUBRULE(this.value);
    return { kind: "set_policy", name, value };
  });

  protected readonly setTeam = this.RULE("setTeam", (): ChangeCommand => {
    this.CONSUME(getKeyword("team"));
    const team = this.SUBRULE(this.word);
    this.CONSUME(getKeyword("partner"));
    const partner = this.SUBRULE(this.partner);
    const shared = this.OPTION(() => this.CONSUME(getKeyword("shared")));
    const sharedWork = shared !== undefined;
    return { kind: "set_team", team, partner, sharedWork };
  });

  protected readonly setTarget = this.RULE("setTarget", (): ChangeCommand => {
    this.CONSUME(getKeyword("target"));
    const targetId = this.SUBRULE1(this.word);
    const kind = this.OR1<TargetSpec["kind"]>([
      { ALT: () => this.readKeyword("engine") },
      { ALT: () => this.readKeyword("service") },
    ]);
    this.CONSUME(getKeyword("serves"));
    const serves = this.SUBRULE(this.words);
    this.CONSUME(getKeyword("region"));
    const region = this.SUBRULE2(this.word);
    this.CONSUME(getKeyword("domain"));
    const failureDomain = this.SUBRULE3(this.word);
    this.CONSUME(getKeyword("address"));
    const address = this.SUBRULE4(this.word);
    const fencing = this.OPTION(() => {
      this.CONSUME(getKeyword("fencing"));
      return this.OR2<"checked" | "ignored">([
        { ALT: () => this.readKeyword("checked") },
        { ALT: () => this.readKeyword("ignored") },
      ]);
    });
    const target = {
      targetId,
      kind,
      serves,
      region,
      failureDomain,
      address,
      checksFencing: fencing === "checked",
      leaving: false,
    };
    return { kind: "set_target", target };
  });

  protected readonly split = this.RULE("split", (): ChangeCommand => {
    this.CONSUME(getKeyword("split"));
    this.CONSUME(getKeyword("costs"));
    this.CONSUME(getKeyword("of"));
    const costClass = this.OR<CostClass>([
      { ALT: () => this.readKeyword("shared") },
      { ALT: () => this.SUBRULE1(this.partner) },
    ]);
    this.OPTION1(() => this.CONSUME(getKeyword("work")));
    const shares: PartnerShare[] = [];
    this.AT_LEAST_ONE(() => {
      shares.push(this.SUBRULE(this.share));
      this.OPTION2(() => this.CONSUME(Comma));
    });
    const remainderTo = this.OPTION3(() => {
      this.CONSUME(getKeyword("remainder"));
      this.CONSUME(getKeyword("to"));
      return this.SUBRULE2(this.partner);
    });
    const change = { kind: "split_costs", costClass, shares } as const;
    return remainderTo === undefined ? change : { ...change, remainderTo };
  });

  protected readonly share = this.RULE("share", (): PartnerShare => {
    const partner = this.SUBRULE(this.partner);
    const sharePpm = this.SUBRULE(this.percent);
    return { partner, sharePpm };
  });

  protected readonly drain = this.RULE("drain", (): ChangeCommand => {
    this.CONSUME(getKeyword("drain"));
    return this.OR<ChangeCommand>([
      {
        ALT: () => {
          this.CONSUME(getKeyword("target"));
          const targetId = this.SUBRULE1(this.word);
          const draining = this.SUBRULE1(this.draining);
          return { kind: "drain_target", targetId, draining };
        },
      },
      {
        ALT: () => {
          this.CONSUME(getKeyword("vm"));
          const vmId = this.SUBRULE2(this.word);
          const draining = this.SUBRULE2(this.draining);
          return { kind: "drain_vm", vmId, draining };
        },
      },
    ]);
  });

  protected readonly draining = this.RULE("draining", (): boolean => {
    const off = this.OPTION(() => this.CONSUME(getKeyword("off")));
    return off === undefined;
  });

  protected readonly place = this.RULE("place", (): ChangeCommand => {
    this.CONSUME(getKeyword("place"));
    this.CONSUME(getKeyword("partner"));
    const partner = this.SUBRULE(this.partner);
    const regions = this.OR1<readonly string[]>([
      {
        ALT: () => {
          this.CONSUME(getKeyword("everywhere"));
          return [];
        },
      },
      {
        ALT: () => {
          this.CONSUME(getKeyword("in"));
          this.OR2([
            { ALT: () => this.CONSUME(getKeyword("regions")) },
            { ALT: () => this.CONSUME(getKeyword("region")) },
          ]);
          return this.SUBRULE(this.words);
        },
      },
    ]);
    return { kind: "place_partner", partner, regions };
  });
}
