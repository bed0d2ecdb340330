import type { RouteDuration } from "./server_record.ts";

/** Number of requests of a route after which its mean duration is used. */
const MIN_REQUESTS = 20;
/** Weight of the latest request in the mean of a route that has had many. */
const SMOOTHING_FACTOR = 0.02;
/** Multiple of the mean with which a long request counts at most. */
const MAX_STEP_FACTOR = 4;
/** Maximum number of routes; a configuration has some tens. */
const MAX_ROUTES = 500;

/** Mean durations of the requests of each route of plain services, over all servers. They only make the requests of different routes comparable; whether a server is slow is decided among the servers. */
export class RouteDurations {
  readonly #routes = new Map<string, MeanDuration>();

  /** Gets the duration of a route, which begins without requests. */
  get(key: string): RouteDuration {
    let route = this.#routes.get(key);
    if (route === undefined) {
      route = new MeanDuration();
      this.#routes.set(key, route);
      if (this.#routes.size > MAX_ROUTES) {
        const [oldestKey] = this.#routes.keys();
        this.#routes.delete(oldestKey);
      }
    }
    return route;
  }
}

class MeanDuration implements RouteDuration {
  #count = 0;
  #meanMs = 0;

  getExpectedMs(): number | undefined {
    return this.#count >= MIN_REQUESTS ? this.#meanMs : undefined;
  }

  record(durationMs: number): void {
    this.#count++;
    const boundedMs = this.#count > MIN_REQUESTS
      ? Math.min(durationMs, this.#meanMs * MAX_STEP_FACTOR)
      : durationMs;
    this.#meanMs += (boundedMs - this.#meanMs) *
      Math.max(SMOOTHING_FACTOR, 1 / this.#count);
  }
}
