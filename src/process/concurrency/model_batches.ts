import type { EngineProfile } from "../../version/routing_config.ts";

/** Time constant with which older requests lose weight, in milliseconds. A daemon that sends one request a second then knows about 30 prompts. */
const TIME_CONSTANT_MS = 30_000;
/** Time that evidence of a group covers, in milliseconds: its shortest window of two periods of 250 ms. */
const EVIDENCE_MS = 500;
/** Number of batches until the first event: on average half of the running one, and the first own one. */
const FIRST_EVENT_BATCHES = 1.5;
/** Shortest time between two events that is expected, in milliseconds, for engines without a published formula. */
const MIN_EXPECTED_MS = 1;
const MS_PER_SECOND = 1_000;

/**
 * Expected durations of the batches of a model's groups: the steps by the engine's formula, and the processing of the prompts that arrived during the batch before.
 *
 * The load pattern: prompts of other streams lengthen single batches for all streams of a group, the more the more requests it gets. While as many streams begin as end, a group with `load` streams of `n` batches each gets `load / n` prompts a batch, whatever its speed. The prompt time for each batch of a stream is therefore learned from the requests of this daemon to all groups of the model.
 */
export class ModelBatches {
  #stepsMs = 0;
  #stepsPerRequestMs = 0;
  #promptMsPerToken = 0;
  /** Sums over the requests of this daemon, which lose weight with time. */
  #prompts = 0;
  #prefillMs = 0;
  #squaresMs2 = 0;
  #batches = 0;
  #decayedAtMs = performance.now();

  /** Sets the published formula of the engine. */
  setEngine(engine: EngineProfile, model: string): void {
    const factor =
      engine.models.find(({ name }) => name === model)?.stepFactor ?? 1;
    this.#stepsMs = engine.stepsPerBatch * engine.stepMs * factor;
    this.#stepsPerRequestMs = engine.stepsPerBatch * engine.stepPerRequestMs *
      factor;
    this.#promptMsPerToken = MS_PER_SECOND * factor /
      Math.max(1, engine.promptTokensPerSecond);
  }

  /** Records that a request with a prompt of the given length is sent. */
  recordPrompt(promptTokens: number): void {
    this.#forgetOld();
    const prefillMs = promptTokens * this.#promptMsPerToken;
    this.#prompts++;
    this.#prefillMs += prefillMs;
    this.#squaresMs2 += prefillMs * prefillMs;
  }

  /** Records that a batch of events of one stream has arrived. */
  recordBatch(): void {
    this.#forgetOld();
    this.#batches++;
  }

  /**
   * Gets the expected time between two batches of events, in milliseconds.
   *
   * @param load - Number of concurrent requests in the group at the first one.
   * @param rise - Number of requests by which the load has risen since: streams that began beyond those that took the place of others. After a fall, fewer began.
   */
  getBatchMs(load: number, rise: number): number {
    const promptMs = this.#prefillMs / Math.max(1, this.#prompts);
    const prefillMs = load * this.#getShare(this.#prefillMs) + rise * promptMs;
    return Math.max(
      MIN_EXPECTED_MS,
      this.#stepsMs + load * this.#stepsPerRequestMs + Math.max(0, prefillMs),
    );
  }

  /**
   * Gets the expected time from sending a request until its first event, in milliseconds.
   *
   * @param promptTokens - Length of its prompt.
   * @param load - Number of concurrent requests in the group.
   */
  getFirstEventMs(promptTokens: number, load: number): number {
    return FIRST_EVENT_BATCHES * this.getBatchMs(load, 0) +
      promptTokens * this.#promptMsPerToken;
  }

  /**
   * Gets the standard deviation of the mean ratio of a group that chance in the number and length of the prompts causes. All streams of the group share the batches, so it does not fall with their number.
   *
   * @param load - Number of concurrent requests in the group.
   */
  getSharedDeviation(load: number): number {
    return Math.sqrt(
      load * this.#getShare(this.#squaresMs2) /
        (this.getBatchMs(load, 0) * EVIDENCE_MS),
    );
  }

  /** Gets a sum over the prompts for each batch of a stream. Before the first streams have ended, fewer batches are known than will come; the time expected is then too long rather than too short. */
  #getShare(sum: number): number {
    return sum / Math.max(1, this.#prompts, this.#batches);
  }

  #forgetOld(): void {
    const nowMs = performance.now();
    const factor = Math.exp((this.#decayedAtMs - nowMs) / TIME_CONSTANT_MS);
    this.#decayedAtMs = nowMs;
    this.#prompts *= factor;
    this.#prefillMs *= factor;
    this.#squaresMs2 *= factor;
    this.#batches *= factor;
  }
}
