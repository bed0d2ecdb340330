import { write } from "node:fs";

const STANDARD_OUTPUT = 1;
/** Maximum number of lines accepted per second. Further lines are dropped and counted, which bounds the cost of logging during a burst of failures. */
const MAX_LINES_PER_SECOND = 400;
/** Maximum total length of the lines that are buffered for a slow reader. */
const MAX_WAITING_BYTES = 262_144;
const SECOND_MS = 1_000;

/** Takes finished log lines. */
export interface LogSink {
  /** Takes a line without a line feed. It never blocks. */
  writeLine(line: string): void;
}

/** Writes a text and calls the callback when the write has finished or failed; injected in tests. */
export type WriteText = (
  text: string,
  callback: (error: Error | null) => void,
) => void;

/** Writes log lines to standard output in the background, and drops lines beyond its rate and buffer limits. */
export class BoundedLogSink implements LogSink {
  readonly #write: WriteText;
  readonly #waiting: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #dropped = 0;
  #droppedTotal = 0;
  #secondStartMs = 0;
  #linesOfSecond = 0;

  constructor(options: { write?: WriteText } = {}) {
    this.#write = options.write ?? writeStandardOutput;
  }

  /** Gets the number of lines dropped since the start. */
  get droppedLines(): number {
    return this.#droppedTotal;
  }

  writeLine(line: string): void {
    if (!this.#hasRoom(line)) {
      this.#recordDropped(1);
      return;
    }
    if (this.#dropped > 0) {
      this.#append(`level=warn event=log-lines-dropped lines=${this.#dropped}`);
      this.#dropped = 0;
    }
    this.#append(line);
    this.#writeWaiting();
  }

  #recordDropped(lines: number): void {
    this.#dropped += lines;
    this.#droppedTotal += lines;
  }

  #hasRoom(line: string): boolean {
    const nowMs = performance.now();
    if (nowMs - this.#secondStartMs >= SECOND_MS) {
      this.#secondStartMs = nowMs;
      this.#linesOfSecond = 0;
    }
    return ++this.#linesOfSecond <= MAX_LINES_PER_SECOND &&
      this.#waitingBytes + line.length <= MAX_WAITING_BYTES;
  }

  #append(line: string): void {
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
  }

  #writeWaiting(): void {
    if (this.#isWriting || this.#waiting.length === 0) {
      return;
    }
    const text = `${this.#waiting.join("\n")}\n`;
    const lines = this.#waiting.splice(0).length;
    this.#isWriting = true;
    // The lines being written count towards the buffer limit until the write ends, since they stay in memory while the reader is slow.
    this.#write(text, (error) => {
      this.#isWriting = false;
      if (error !== null) {
        this.#recordDropped(lines);
      }
      this.#waitingBytes = this.#waiting.reduce((n, l) => n + l.length, 0);
      this.#writeWaiting();
    });
  }
}

/** Writes through the thread pool, since a write to a full pipe would block the event loop. */
function writeStandardOutput(
  text: string,
  callback: (error: Error | null) => void,
): void {
  const bytes = Buffer.from(text);
  const writeRest = (offset: number) => {
    write(STANDARD_OUTPUT, bytes, offset, (error, written) => {
      if (error !== null || offset + written >= bytes.length) {
        callback(error);
      } else {
        writeRest(offset + written);
      }
    });
  };
  writeRest(0);
}
