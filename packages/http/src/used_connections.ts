/**
 * The connections that carried the attempts of one request.
 *
 * A faulty peer may write a response once more, at the point where the next one
 * is expected. It names the request that it belongs to, but all attempts of a
 * request bear the same id. So no attempt is sent on a connection that carried
 * an earlier one: a copy that names the request can't arrive there.
 */

/** The connections of one request, over all its attempts and peers. */
export class UsedConnections {
  readonly #used = new WeakSet<object>();

  add(connection: object): void {
    this.#used.add(connection);
  }

  has(connection: object): boolean {
    return this.#used.has(connection);
  }
}
