import { type EngineChunk, EngineError } from "../connection/engine_client.ts";

/** Token of an engine's answer. */
export type TokenChunk = Extract<EngineChunk, { type: "token" }>;

/** Checks that the tokens of an answer come whole, once and in order, over all attempts. */
export class TokenSequence {
  readonly #tokenTexts: string[] = [];

  /** Gets the number of tokens accepted. */
  get length(): number {
    return this.#tokenTexts.length;
  }

  /** Gets a copy of the accepted tokens, from which another attempt resumes. */
  getTokenTexts(): string[] {
    return [...this.#tokenTexts];
  }

  /**
   * Accepts the next token. A token that was accepted before is dropped.
   *
   * @param token - Token with its index in the whole answer.
   * @returns Whether the token is new.
   * @throws {EngineError} When a token is missing before it.
   */
  accept(token: TokenChunk): boolean {
    if (token.index < this.#tokenTexts.length) {
      return false;
    }
    if (token.index > this.#tokenTexts.length) {
      throw new EngineError(
        `The engine sent token ${token.index} where token ${this.#tokenTexts.length} was due`,
        { verdict: "may-have-run", kind: "out-of-order" },
      );
    }
    this.#tokenTexts.push(token.text);
    return true;
  }
}
