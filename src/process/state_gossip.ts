import type { PeerClient } from "../connection/peer_clients.ts";
import { getErrorMessage } from "../shared/errors.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Number of random peers to which a daemon pushes a change at once. A change reaches n daemons in log8(n) hops. */
const PUSH_FANOUT = 8;
/** Number of random peers with which the state's digest is compared in each round, so that a daemon catches up on changes that it missed. */
const ANTI_ENTROPY_FANOUT = 2;

/** State that the daemons keep equal. */
export interface GossipedState<Message> {
  /** Creates the message that describes the changes. */
  createMessage(): Message;
  /** Sends a message to a peer. */
  send(client: PeerClient, message: Message): Promise<unknown>;
}

/** Replicates a part of the quarantine to the other daemons. */
export class StateGossip<Message> {
  readonly #context: DaemonContext;
  readonly #state: GossipedState<Message>;
  #isPushing = false;
  #hasUnsentChange = false;

  constructor(context: DaemonContext, state: GossipedState<Message>) {
    this.#context = context;
    this.#state = state;
  }

  /** Pushes the changes to random peers, again if the state changes during the push. */
  async pushChanges(): Promise<void> {
    this.#hasUnsentChange = true;
    if (this.#isPushing) {
      return;
    }
    this.#isPushing = true;
    while (this.#hasUnsentChange && !this.#context.lifeCycle.signal.aborted) {
      this.#hasUnsentChange = false;
      const message = this.#state.createMessage();
      await Promise.all(
        this.#choosePeers(PUSH_FANOUT).map((address) =>
          this.#callPeer(address, (peer) => this.#state.send(peer, message))
        ),
      );
    }
    this.#isPushing = false;
  }

  /** Calls random peers one after the other to compare states with them. */
  async callPeers(
    call: (client: PeerClient) => Promise<unknown>,
  ): Promise<void> {
    for (const address of this.#choosePeers(ANTI_ENTROPY_FANOUT)) {
      await this.#callPeer(address, call);
    }
  }

  async #callPeer(
    peer: string,
    call: (client: PeerClient) => Promise<unknown>,
  ): Promise<void> {
    try {
      await call(this.#context.peerClients.getClient(peer));
    } catch (error) {
      this.#context.logger.write("debug", "quarantine-exchange-failed", {
        peer,
        message: getErrorMessage(error),
      });
    }
  }

  #choosePeers(count: number): string[] {
    const { vmTable, settings } = this.#context;
    const addresses = vmTable.getEntryVms()
      .filter((vm) => vm.name !== settings.name)
      .map((vm) => ({ address: vm.address, sortKey: Math.random() }));
    addresses.sort((a, b) => a.sortKey - b.sortKey);
    return addresses.slice(0, count).map((entry) => entry.address);
  }
}
