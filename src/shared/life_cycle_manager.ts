import { setMaxListeners } from "node:events";

/** Resource that is released once. */
export interface Disposable {
  /** Releases the resource. */
  dispose(): void | Promise<void>;
}

/** Releases registered resources in reverse order of registration. */
export class LifeCycleManager implements Disposable {
  readonly #disposables: Disposable[] = [];
  readonly #abortController = new AbortController();

  constructor() {
    // Every waiting task and request adds a listener to this signal, so the limit for the leak warning of Node.js is lifted.
    setMaxListeners(0, this.#abortController.signal);
  }

  /** Gets the signal that aborts when the manager is disposed. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /**
   * Registers a resource.
   *
   * @param disposable - Resource to release on disposal.
   * @returns The resource.
   * @example
   * ```ts
   * const server = lifeCycle.add(new PeerServer(context));
   * ```
   */
  add<T extends Disposable>(disposable: T): T {
    this.#disposables.push(disposable);
    return disposable;
  }

  /**
   * Registers a clean-up function.
   *
   * @param dispose - Function to call on disposal.
   */
  addCallback(dispose: () => void | Promise<void>): void {
    this.#disposables.push({ dispose });
  }

  /**
   * Releases all resources, the remaining ones too when one fails to release.
   *
   * @throws {AggregateError} When a resource fails to release.
   */
  async dispose(): Promise<void> {
    this.#abortController.abort();
    const failures: unknown[] = [];
    for (const disposable of this.#disposables.splice(0).reverse()) {
      try {
        await disposable.dispose();
      } catch (error) {
        failures.push(error);
      }
    }
    if (failures.length > 0) {
      throw new AggregateError(failures, "Some resources failed to release");
    }
  }
}
