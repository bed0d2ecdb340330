import { ModelBatches } from "./model_batches.ts";

/** Maximum number of models; a configuration has some. */
const MAX_MODELS = 100;

/** Expected batches of the groups of each model, by the scope in which the groups are compared. */
export class ModelBatchTable {
  readonly #batches = new Map<string, ModelBatches>();

  /** Gets the batches of a model, which begin without requests. */
  get(scope: string): ModelBatches {
    let batches = this.#batches.get(scope);
    if (batches === undefined) {
      batches = new ModelBatches();
      this.#batches.set(scope, batches);
      if (this.#batches.size > MAX_MODELS) {
        const [oldestScope] = this.#batches.keys();
        this.#batches.delete(oldestScope);
      }
    }
    return batches;
  }

  /**
   * Gets the standard deviation of the mean ratio of a group that all its streams share.
   *
   * @param scope - Scope of the group's model; undefined when only peers have reported the group. The highest deviation of all models is used then.
   * @param load - Number of concurrent requests in the group.
   */
  getSharedDeviation(scope: string | undefined, load: number): number {
    const batches = this.#batches.get(scope ?? "");
    const candidates = batches === undefined
      ? [...this.#batches.values()]
      : [batches];
    return Math.max(
      0,
      ...candidates.map((candidate) => candidate.getSharedDeviation(load)),
    );
  }
}
