/** Callbacks of the waits in progress by the signal that ends them. One listener for each signal serves all its waits, since adding a listener costs more than the timer. */
const waitsBySignal = new WeakMap<AbortSignal, Set<() => void>>();

/**
 * Waits on the runtime's clock, which tests can pause.
 *
 * @param durationMs - Time to wait in milliseconds.
 * @param signal - Ends the wait early.
 * @returns `true` after the full time, `false` when the signal ended the wait.
 * @example
 * ```ts
 * while (await delay(1_000, lifeCycle.signal)) {
 *   await refresh();
 * }
 * ```
 */
export function delay(
  durationMs: number,
  signal?: AbortSignal,
): Promise<boolean> {
  if (signal?.aborted) {
    return Promise.resolve(false);
  }
  return new Promise((resolve) => {
    const waits = signal === undefined ? undefined : getWaits(signal);
    const onAbort = () => {
      clearTimeout(timer);
      resolve(false);
    };
    const timer = setTimeout(() => {
      waits?.delete(onAbort);
      resolve(true);
    }, durationMs);
    waits?.add(onAbort);
  });
}

function getWaits(signal: AbortSignal): Set<() => void> {
  const knownWaits = waitsBySignal.get(signal);
  if (knownWaits !== undefined) {
    return knownWaits;
  }
  const waits = new Set<() => void>();
  waitsBySignal.set(signal, waits);
  signal.addEventListener("abort", () => waits.forEach((end) => end()), {
    once: true,
  });
  return waits;
}
