import type {
  LinkEndOrigin,
  PeerLink,
  PeerLinkTransport,
} from "../../src/connection/peer_link.ts";
import { delay } from "../../src/shared/delay.ts";

/** Time of a message between two daemons, in milliseconds. */
const LINK_MS = 2;

/** End of a link in memory. */
class MemoryLink implements PeerLink {
  readonly bufferedBytes = 0;
  peer: MemoryLink | undefined;
  #onMessage: (text: string) => void = () => {};
  readonly #closeListeners: ((
    reason: string,
    origin: LinkEndOrigin,
  ) => void)[] = [];
  #isClosed = false;

  send(text: string): void {
    setTimeout(() => this.peer?.receive(text), LINK_MS);
  }

  receive(text: string): void {
    if (!this.#isClosed) {
      this.#onMessage(text);
    }
  }

  onMessage(listener: (text: string) => void): void {
    this.#onMessage = listener;
  }

  onClose(listener: (reason: string, origin: LinkEndOrigin) => void): void {
    this.#closeListeners.push(listener);
  }

  close(): void {
    this.finish("own");
    setTimeout(() => this.peer?.finish("peer"), LINK_MS);
  }

  finish(origin: LinkEndOrigin): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#closeListeners.forEach((listener) => listener("closed", origin));
    }
  }
}

/** Links between the daemons of a test. */
export class MemoryNetwork {
  readonly #listeners = new Map<string, (link: PeerLink) => void>();

  createTransport(address: string): PeerLinkTransport {
    return {
      open: async (peerAddress) => {
        await delay(LINK_MS);
        const listener = this.#listeners.get(peerAddress);
        if (listener === undefined) {
          throw new Error("Nothing listens at the address");
        }
        const [own, peer] = [new MemoryLink(), new MemoryLink()];
        own.peer = peer;
        peer.peer = own;
        listener(peer);
        return own;
      },
      onLink: (listener) => void this.#listeners.set(address, listener),
    };
  }

  remove(address: string): void {
    this.#listeners.delete(address);
  }
}
