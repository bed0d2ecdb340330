/** Servers to which a request has been sent, as far as they count towards the route's limit on servers. */
export class AttemptedServers {
  readonly #maxServers: number;
  /** Ids of the servers that may have run the request, and have not ended since. */
  readonly #countedIds = new Set<string>();
  /** Ids of the servers to which the request may return, because the attempt there was cancelled, or its connection was reset once. */
  readonly #returnIds = new Set<string>();
  /** Ids of the servers that have reset a connection of the request, and go on. */
  readonly #resetIds = new Set<string>();

  constructor(options: { maxServers: number }) {
    this.#maxServers = options.maxServers;
  }

  /** Counts a server that may have run the request. */
  add(serverId: string): void {
    this.#countedIds.add(serverId);
  }

  /** Records that an attempt at a server has ended, so that the request does not return to it. */
  recordEnd(serverId: string): void {
    this.#returnIds.delete(serverId);
  }

  /** Records that an attempt at a server was cancelled, so that the request may return to it. */
  recordCancellation(serverId: string): void {
    this.#returnIds.add(serverId);
  }

  /** Records that a server that goes on has reset the connection of an attempt. The request may return to it once; a server that resets it again may be faulty. */
  recordReset(serverId: string): void {
    if (!this.#resetIds.has(serverId)) {
      this.#resetIds.add(serverId);
      this.#returnIds.add(serverId);
    }
  }

  /** Gets whether the request may return to a server at which an attempt has ended. */
  isReturnPermitted(serverId: string): boolean {
    return this.#returnIds.has(serverId);
  }

  /**
   * Finds the ids of the servers to which the limit restricts the next attempt; undefined when any server is permitted.
   *
   * @param currentServerId - Server that runs the request at present.
   * @example
   * ```ts
   * const isLimitReached = servers.findPermitted()?.size === 0;
   * ```
   */
  findPermitted(currentServerId?: string): ReadonlySet<string> | undefined {
    const serverIds = new Set(this.#countedIds);
    if (currentServerId !== undefined) {
      serverIds.add(currentServerId);
    }
    return serverIds.size < this.#maxServers ? undefined : new Set(
      [...this.#returnIds].filter((id) =>
        id !== currentServerId && this.#countedIds.has(id)
      ),
    );
  }
}
