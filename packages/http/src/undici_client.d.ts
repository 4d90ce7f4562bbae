/**
 * The only part of undici that the exchanges use. It's imported by its file, so
 * that a process doesn't load the complete library at its start.
 */
declare module "undici/lib/dispatcher/client.js" {
  import type { Client } from "undici";
  const UndiciClient: typeof Client;
  export default UndiciClient;
}
