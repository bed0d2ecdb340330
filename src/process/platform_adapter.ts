import type { RequestListener } from "node:http";
import type { DutyClient } from "../connection/duty_client.ts";
import type { BackendTransport } from "../connection/backend_transport.ts";
import type { GroupOrderClient } from "../connection/group_order_client.ts";
import type { SnapshotStore } from "../connection/object_store.ts";
import type { UnansweredEndObserver } from "../connection/unanswered_end.ts";
import type { RequestHandler } from "../request/routed/request_handler.ts";
import type { RoutingConfig } from "../version/routing_config.ts";
import type { BackendServer } from "../shared/backend_server.ts";

/** Interface between a routing daemon and the platform that it runs on. */
export interface PlatformAdapter {
  readonly store: SnapshotStore;
  readonly transport: BackendTransport;
  readonly orders: GroupOrderClient;
  /** Client for the calls that are the duty of one daemon at a time; undefined when there are none. */
  readonly duties?: DutyClient;
  /** Kinds of the store objects that operators and backend servers write. */
  readonly kinds: {
    readonly config: string;
    readonly servers: string;
    /** Kind whose objects each name a zone that receives no requests. */
    readonly excludedZones: string;
  };
  /** Path of the load balancer's readiness check. */
  readonly readyPath: string;
  /** Decodes the configuration; throws when the value is invalid. */
  decodeConfig(value: unknown): RoutingConfig;
  /** Decodes the stored entry of a backend server; throws when the entry does not describe a usable server. */
  decodeServer(id: string, value: unknown, entryVersion: number): BackendServer;
  /** Creates the request listener that decodes callers' requests, passes them to a request handler and tells the observer of responses that were not completed. */
  createIngress(
    requestHandler: RequestHandler,
    observer: UnansweredEndObserver,
  ): RequestListener;
}
