/**
 * The change that stores a deployment's first configuration.
 */
import type { ChangeInput, ConfigurationOptions } from "./inputs.ts";

/** The request under which the initial configuration is stored. */
export const INITIAL_REQUEST = "initial";

type InitialConfiguration = NonNullable<ConfigurationOptions["initial"]>;

/** Builds the change; it applies only where no revision is stored. */
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
