/**
 * Addresses to which one request has been sent. A request that is sent to an address again needs a new connection: a kept one may still deliver a second copy of the earlier response, whose request id is that of the repeated request, too.
 */
export class SentAddresses {
  readonly #addresses = new Set<string>();

  /**
   * Adds the address of an attempt.
   *
   * @param address - IP address and port of the backend server.
   * @returns Whether the request has not been sent to the address before.
   * @example
   * ```ts
   * const usesDedicatedConnection = !sentAddresses.add(server.address);
   * ```
   */
  add(address: string): boolean {
    const isNew = !this.#addresses.has(address);
    this.#addresses.add(address);
    return isNew;
  }
}
