/**
 * The one part of undici that the exchanges use, imported by its file so that
 * a process doesn't load the whole library at its start.
 */
declare module "undici/lib/dispatcher/client.js" {
  import type { Client } from "undici";
  const UndiciClient: typeof Client;
  export default UndiciClient;
}
