/**
 * Puts together what the learned costs of a request depend on.
 */
import type { RequestFields } from "../model/request_fields.ts";
import type { Route, Service } from "../model/routing.ts";
import type { WorkInputs } from "./compute_estimate.ts";
import type { LoadSource } from "./target_load.ts";
import type { WorkModel } from "./work_model.ts";

/** A request to place. */
export interface PlacedRequest {
  readonly fields: Pick<
    RequestFields,
    | "prompt"
    | "affinityKey"
    | "programId"
    | "sessionId"
    | "promptTokens"
    | "maxOutputTokens"
    | "outputHint"
    | "resumeAfter"
  >;
  readonly route: Pick<Route, "name" | "kind">;
}

/** Where the inputs come from. */
export interface WorkInputSources {
  readonly model: WorkModel;
  readonly load: LoadSource;
  readonly findService: (name: string) => Service | undefined;
}

/** Builds the inputs of requests. */
export class WorkInputBuilder {
  readonly #sources: WorkInputSources;

  constructor(sources: WorkInputSources) {
    this.#sources = sources;
  }

  get model(): WorkModel {
    return this.#sources.model;
  }

  /** Builds the inputs of one request at one service. */
  build({ fields, route }: PlacedRequest, service: string): WorkInputs {
    const { model, load, findService } = this.#sources;
    return {
      model,
      load,
      key: { service, route: route.name },
      isStream: route.kind === "streaming" &&
        this.countEventTokens(service) > 0,
      memoryTokens: findService(service)?.memoryTokens,
      lengths: fields,
    };
  }

  /** Counts the tokens of one event of a service's streams. */
  countEventTokens(service: string): number {
    return this.#sources.findService(service)?.tokensPerEvent ?? 0;
  }
}
