import { write } from "node:fs";

const STANDARD_OUTPUT_FD = 1;
/** Maximum number of lines accepted per second. Further lines are dropped and counted, which bounds the cost of logging during a burst of failures. */
const MAX_LINES_PER_SECOND = 400;
/** Maximum total length, in UTF-16 code units, of the lines that are buffered for a slow reader. */
const MAX_BUFFERED_LENGTH = 262_144;
const SECOND_MS = 1_000;

/** Receives formatted log lines. */
export interface LogSink {
  /** Writes a line, which contains no line feed. It never blocks. */
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
  readonly #bufferedLines: string[] = [];
  #bufferedLength = 0;
  #isWriting = false;
  #unreportedDroppedLines = 0;
  #totalDroppedLines = 0;
  #secondStartedAtMs = 0;
  #linesInSecond = 0;

  constructor(options: { write?: WriteText } = {}) {
    this.#write = options.write ?? writeStandardOutput;
  }

  /** Gets the number of lines dropped since the start. */
  get droppedLines(): number {
    return this.#totalDroppedLines;
  }

  writeLine(line: string): void {
    if (!this.#hasRoomForLine(line)) {
      this.#recordDroppedLines(1);
      return;
    }
    if (this.#unreportedDroppedLines > 0) {
      this.#appendToBuffer(
        `level=warn event=log-lines-dropped lines=${this.#unreportedDroppedLines}`,
      );
      this.#unreportedDroppedLines = 0;
    }
    this.#appendToBuffer(line);
    this.#writeBuffer();
  }

  #recordDroppedLines(lines: number): void {
    this.#unreportedDroppedLines += lines;
    this.#totalDroppedLines += lines;
  }

  /** Counts the line towards the current second, and returns whether the rate and buffer limits allow it. */
  #hasRoomForLine(line: string): boolean {
    const nowMs = performance.now();
    if (nowMs - this.#secondStartedAtMs >= SECOND_MS) {
      this.#secondStartedAtMs = nowMs;
      this.#linesInSecond = 0;
    }
    return ++this.#linesInSecond <= MAX_LINES_PER_SECOND &&
      this.#bufferedLength + line.length <= MAX_BUFFERED_LENGTH;
  }

  #appendToBuffer(line: string): void {
    this.#bufferedLines.push(line);
    this.#bufferedLength += line.length;
  }

  #writeBuffer(): void {
    if (this.#isWriting || this.#bufferedLines.length === 0) {
      return;
    }
    const text = `${this.#bufferedLines.join("\n")}\n`;
    const lines = this.#bufferedLines.splice(0).length;
    this.#isWriting = true;
    // The lines being written count towards the buffer limit until the write ends, since they stay in memory while the reader is slow.
    this.#write(text, (error) => {
      this.#isWriting = false;
      if (error !== null) {
        this.#recordDroppedLines(lines);
      }
      this.#bufferedLength = this.#bufferedLines.reduce(
        (n, l) => n + l.length,
        0,
      );
      this.#writeBuffer();
    });
  }
}

/** Writes to standard output through the thread pool, since a synchronous write to a full pipe would block the event loop. */
function writeStandardOutput(
  text: string,
  callback: (error: Error | null) => void,
): void {
  const bytes = Buffer.from(text);
  const writeRest = (offset: number) => {
    write(STANDARD_OUTPUT_FD, bytes, offset, (error, written) => {
      if (error !== null || offset + written >= bytes.length) {
        callback(error);
      } else {
        writeRest(offset + written);
      }
    });
  };
  writeRest(0);
}
