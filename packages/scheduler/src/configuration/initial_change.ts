/**
 * The change that stores a deployment's initial configuration.
 */
import type { ChangeInput, ConfigurationOptions } from "./inputs.ts";

/** Request id of the change that stores the initial configuration. */
export const INITIAL_REQUEST = "initial";

type InitialConfiguration = NonNullable<ConfigurationOptions["initial"]>;

/** Builds the change, which applies only if no revision is stored. */
export function buildInitialChange(
  options: ConfigurationOptions,
  initial: InitialConfiguration,
): ChangeInput {
  const { self, incarnation } = options;
  return {
    kind: "change",
    requestId: INITIAL_REQUEST,
    changeId: `initial/${self}/${incarnation}`,
    change: { kind: "import_configuration", value: initial.value },
    text: "import initial configuration",
    by: initial.by,
    ifRevision: 0,
    atMs: initial.atMs,
  };
}
