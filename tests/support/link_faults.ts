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
const REFUSING_URL = "http://127.0.0.1:9";

/** Disconnects daemons of a test from the object store or from each other. */
export class LinkFaults {
  readonly #daemonsWithoutStore = new Set<string>();
  readonly #networkPartitionByDaemon = new Map<string, number>();
  readonly #nameByAddress = new Map<string, string>();

  /** Replaces a daemon's store and peer clients by clients that fail while their link is cut. */
  bindClients(container: Container, settings: DaemonSettings): void {
    const { name } = settings;
    const http = new PeerHttpClient();
    container.rebind(HttpPlatformClient).toConstantValue(
      new CuttablePlatformClient(settings.platformUrl, {
        isCut: () => this.#daemonsWithoutStore.has(name),
      }),
    );
    container.rebind(HttpPeerClients).toConstantValue(
      new HttpPeerClients({
        timeoutMs: PEER_TIMEOUT_MS,
        fetch: (url, init) =>
          this.#isCut(name, new URL(url).host)
            ? Promise.reject(new Error("The test has cut the link to the peer"))
            : http.request(url, init),
      }),
    );
  }

  /** Makes the store unreachable for the given daemons. */
  cutStoreLinks(daemons: readonly Daemon[]): void {
    daemons.forEach((d) => this.#daemonsWithoutStore.add(getName(d)));
  }

  /** Creates a network partition: daemons reach each other only within one of the given sets. */
  cutPeerLinks(networkPartitions: readonly (readonly Daemon[])[]): void {
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

  #isCut(from: string, address: string): boolean {
    const to = this.#nameByAddress.get(address) ?? "";
    return this.#networkPartitionByDaemon.get(from) !==
      this.#networkPartitionByDaemon.get(to);
  }
}

class CuttablePlatformClient extends HttpPlatformClient {
  readonly #refusing = new HttpPlatformClient({ url: REFUSING_URL });
  readonly #isCut: () => boolean;

  constructor(url: string, options: { isCut: () => boolean }) {
    super({ url });
    this.#isCut = options.isCut;
  }

  override getObject(kind: string, name: string) {
    return this.#isCut()
      ? this.#refusing.getObject(kind, name)
      : super.getObject(kind, name);
  }

  override listObjects(kind: string) {
    return this.#isCut()
      ? this.#refusing.listObjects(kind)
      : super.listObjects(kind);
  }

  override putObject(options: PutObjectOptions) {
    return this.#isCut()
      ? this.#refusing.putObject(options)
      : super.putObject(options);
  }

  override async watch(options: WatchOptions) {
    const result =
      await (this.#isCut()
        ? this.#refusing.watch(options)
        : super.watch(options));
    return this.#isCut() ? await this.#refusing.watch(options) : result;
  }

  override getVms() {
    return this.#isCut() ? this.#refusing.getVms() : super.getVms();
  }
}

function getName(daemon: Daemon): string {
  return daemon.context.settings.name;
}
