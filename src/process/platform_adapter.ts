import type { RequestListener } from "node:http";
import type { BackendTransport } from "../connection/backend_transport.ts";
import type { GroupOrderClient } from "../connection/group_order_client.ts";
import type { SnapshotStore } from "../connection/object_store.ts";
import type { RequestHandler } from "../request/routed/request_handler.ts";
import type { RoutingConfig } from "../version/routing_config.ts";
import type { BackendServer } from "../shared/backend_server.ts";

/** Everything that a routing daemon needs of the platform that it runs on. */
export interface PlatformAdapter {
  readonly store: SnapshotStore;
  readonly transport: BackendTransport;
  readonly orders: GroupOrderClient;
  /** Kinds of the objects that operators and backend servers write. */
  readonly kinds: {
    readonly config: string;
    readonly servers: string;
    /** Its objects are named after the zones that take no requests. */
    readonly excludedZones: string;
  };
  /** Path at which the balancer asks whether the daemon is ready. */
  readonly readyPath: string;
  /** Decodes the configuration; throws when it cannot be read. */
  decodeConfig(value: unknown): RoutingConfig;
  /** Decodes the entry of a backend server; throws when it names no server to use. */
  decodeServer(id: string, value: unknown, entryVersion: number): BackendServer;
  /** Creates the listener for callers. */
  createIngress(requestHandler: RequestHandler): RequestListener;
}
