import { type EngineChunk, EngineError } from "../connection/engine_client.ts";

/** Token of an engine's response. */
export type TokenChunk = Extract<EngineChunk, { type: "token" }>;

/** Checks that a response contains every token exactly once and in order, across all attempts. */
export class TokenSequence {
  readonly #tokenTexts: string[] = [];

  /** Number of accepted tokens. */
  get length(): number {
    return this.#tokenTexts.length;
  }

  /** Returns a copy of the accepted tokens, after which another attempt resumes. */
  getTokenTexts(): string[] {
    return [...this.#tokenTexts];
  }

  /**
   * Accepts the next token, or drops it if it was accepted before.
   *
   * @param token - Token with its index in the whole response.
   * @returns Whether the token is new.
   * @throws {EngineError} When an earlier token is missing.
   */
  accept(token: TokenChunk): boolean {
    if (token.index < this.#tokenTexts.length) {
      return false;
    }
    if (token.index > this.#tokenTexts.length) {
      throw new EngineError(
        `The engine sent token ${token.index} instead of token ${this.#tokenTexts.length}`,
        { verdict: "may-have-run", kind: "out-of-order" },
      );
    }
    this.#tokenTexts.push(token.text);
    return true;
  }
}
