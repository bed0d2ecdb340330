import type { Container } from "inversify";
import { HttpPlatformClient } from "../../src/connection/http_platform_client.ts";
import type {
  PutObjectOptions,
  WatchOptions,
} from "../../src/connection/object_store.ts";
import { HttpPeerClients } from "../../src/connection/peer_clients.ts";
import { PeerHttpClient } from "../../src/connection/peer_http_client.ts";
import type { Daemon } from "../../src/process/daemon.ts";
import type { DaemonSettings } from "../../src/process/daemon_settings.ts";

const PEER_TIMEOUT_MS = 1_000;
const UNREACHABLE_URL = "http://127.0.0.1:9";

/** Disconnects daemons of a test from the object store or from each other. */
export class LinkFaults {
  readonly #daemonsWithoutStore = new Set<string>();
  readonly #networkPartitionByDaemon = new Map<string, number>();
  readonly #nameByAddress = new Map<string, string>();

  /** Replaces a daemon's store and peer clients by clients that fail while the daemon is disconnected. */
  bindClients(container: Container, settings: DaemonSettings): void {
    const { name } = settings;
    const httpClient = new PeerHttpClient();
    container.rebind(HttpPlatformClient).toConstantValue(
      new DisconnectablePlatformClient(settings.platformUrl, {
        isDisconnected: () => this.#daemonsWithoutStore.has(name),
      }),
    );
    container.rebind(HttpPeerClients).toConstantValue(
      new HttpPeerClients({
        timeoutMs: PEER_TIMEOUT_MS,
        fetch: (url, init) =>
          this.#isPartitioned(name, new URL(url).host)
            ? Promise.reject(new Error("The test has disconnected the peer"))
            : httpClient.request(url, init),
      }),
    );
  }

  /** Makes the store unreachable for the given daemons. */
  assumeStoreUnreachable(daemons: readonly Daemon[]): void {
    daemons.forEach((d) => this.#daemonsWithoutStore.add(getName(d)));
  }

  /** Creates a network partition: daemons reach each other only within one of the given sets. */
  assumeNetworkPartition(
    networkPartitions: readonly (readonly Daemon[])[],
  ): void {
    networkPartitions.forEach((daemons, index) =>
      daemons.forEach((daemon) => {
        this.#networkPartitionByDaemon.set(getName(daemon), index);
        this.#nameByAddress.set(daemon.peerAddress, getName(daemon));
      })
    );
  }

  /** Restores all links. */
  clear(): void {
    this.#daemonsWithoutStore.clear();
    this.#networkPartitionByDaemon.clear();
  }

  #isPartitioned(from: string, address: string): boolean {
    const to = this.#nameByAddress.get(address) ?? "";
    return this.#networkPartitionByDaemon.get(from) !==
      this.#networkPartitionByDaemon.get(to);
  }
}

class DisconnectablePlatformClient extends HttpPlatformClient {
  readonly #unreachableClient = new HttpPlatformClient({
    url: UNREACHABLE_URL,
  });
  readonly #isDisconnected: () => boolean;

  constructor(url: string, options: { isDisconnected: () => boolean }) {
    super({ url });
    this.#isDisconnected = options.isDisconnected;
  }

  override getObject(kind: string, name: string) {
    return this.#isDisconnected()
      ? this.#unreachableClient.getObject(kind, name)
      : super.getObject(kind, name);
  }

  override listObjects(kind: string) {
    return this.#isDisconnected()
      ? this.#unreachableClient.listObjects(kind)
      : super.listObjects(kind);
  }

  override putObject(options: PutObjectOptions) {
    return this.#isDisconnected()
      ? this.#unreachableClient.putObject(options)
      : super.putObject(options);
  }

  override async watch(options: WatchOptions) {
    const result =
      await (this.#isDisconnected()
        ? this.#unreachableClient.watch(options)
        : super.watch(options));
    return this.#isDisconnected()
      ? await this.#unreachableClient.watch(options)
      : result;
  }

  override getVms() {
    return this.#isDisconnected()
      ? this.#unreachableClient.getVms()
      : super.getVms();
  }
}

function getName(daemon: Daemon): string {
  return daemon.context.settings.name;
}
