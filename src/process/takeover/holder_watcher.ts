import { connect, type Socket } from "node:net";
import { parseAddress } from "../../connection/backend_transport.ts";
import type { DaemonDescription } from "../../connection/peer_notice.ts";
import { delay } from "../../shared/delay.ts";

/** Interval at which the connection is checked, in milliseconds. It bounds the time without one after the holder's listener has closed an idle connection. */
const CHECK_INTERVAL_MS = 200;
/** Delay before a connection that could not be opened is tried again, in milliseconds. */
const RETRY_PAUSE_MS = 1_000;
/** Code of the error that the end of the other process causes. */
const RESET_CODE = "ECONNRESET";

/** Keeps an idle connection to the peer listener of a lease holder that has no link with this daemon, so that its end is noticed here as well. */
export class HolderWatcher {
  readonly #findHolder: () => DaemonDescription | undefined;
  readonly #onConnected: (name: string) => void;
  readonly #onEnded: (holder: DaemonDescription) => void;
  #holder: DaemonDescription | undefined;
  #socket: Socket | undefined;
  #retryAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: {
    /** Finds the holder that this daemon has to watch; undefined when there is none. */
    findHolder(): DaemonDescription | undefined;
    /** Called when the connection to a holder has opened. */
    onConnected(name: string): void;
    /** Called when the holder's side has closed or reset the connection. */
    onEnded(holder: DaemonDescription): void;
  }) {
    this.#findHolder = () => options.findHolder();
    this.#onConnected = (name) => options.onConnected(name);
    this.#onEnded = (holder) => options.onEnded(holder);
  }

  /** Keeps the connection until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    do {
      this.#syncConnection();
    } while (await delay(CHECK_INTERVAL_MS, signal));
    this.#closeConnection();
  }

  #syncConnection(): void {
    const holder = this.#findHolder();
    if (holder?.address !== this.#holder?.address) {
      this.#closeConnection();
      this.#retryAtMs = Number.NEGATIVE_INFINITY;
    }
    this.#holder = holder;
    if (
      holder !== undefined && this.#socket === undefined &&
      performance.now() >= this.#retryAtMs
    ) {
      this.#openConnection(holder);
    }
  }

  #openConnection(holder: DaemonDescription): void {
    const socket = connect(parseAddress(holder.address));
    let isConnected = false;
    let isEnded = false;
    this.#socket = socket;
    this.#retryAtMs = performance.now() + RETRY_PAUSE_MS;
    socket.once("connect", () => {
      isConnected = true;
      this.#onConnected(holder.name);
    });
    // Without a reader, the end of the stream is not reported.
    socket.resume();
    socket.once("end", () => isEnded = true);
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      isEnded = code === RESET_CODE;
    });
    socket.once("close", () => {
      if (this.#socket === socket) {
        this.#socket = undefined;
        if (isConnected && isEnded) {
          this.#onEnded(holder);
        }
      }
    });
  }

  #closeConnection(): void {
    const socket = this.#socket;
    this.#socket = undefined;
    socket?.destroy();
  }
}
