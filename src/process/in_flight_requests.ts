import { delay } from "../shared/delay.ts";

/** Request that can be aborted. */
export interface AbortableRequest {
  /** Ends the request with an error. */
  abort(): void;
}

/** Requests in flight, which a planned stop waits for. */
export class InFlightRequests<T extends AbortableRequest> {
  readonly #requests = new Set<T>();
  #onIdle: (() => void) | undefined;

  /** Gets the number of requests in flight. */
  get size(): number {
    return this.#requests.size;
  }

  /**
   * Adds a request.
   *
   * @param request - Request in flight.
   * @returns Function to call when the request has ended.
   */
  add(request: T): () => void {
    this.#requests.add(request);
    return () => {
      this.#requests.delete(request);
      if (this.#requests.size === 0) {
        this.#onIdle?.();
      }
    };
  }

  /** Lists the requests in flight. */
  list(): T[] {
    return [...this.#requests];
  }

  /**
   * Waits until no request is in flight.
   *
   * @param timeoutMs - Time after which the wait ends in any case, in milliseconds.
   */
  async waitUntilIdle(timeoutMs: number): Promise<void> {
    if (this.#requests.size === 0) {
      return;
    }
    const stopTimer = new AbortController();
    const idlePromise = new Promise<void>((resolve) => this.#onIdle = resolve);
    await Promise.race([
      idlePromise,
      delay(Math.max(0, timeoutMs), stopTimer.signal),
    ]);
    stopTimer.abort();
    this.#onIdle = undefined;
  }
}
