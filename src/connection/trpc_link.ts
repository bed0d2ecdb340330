import { type Operation, TRPCClientError, type TRPCLink } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import type { PeerFetch } from "./peer_http_client.ts";

/** Options of the link to a peer port. */
export interface TrpcLinkOptions {
  /** IP address and port. */
  readonly address: string;
  /** Function that sends the requests. */
  readonly fetch: PeerFetch;
  /** Time limit of each request in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Creates a tRPC link that sends each call in an HTTP request of its own, with the format of the `httpLink` of tRPC. That link creates an abort signal and checks the types of the Fetch standard for each call.
 *
 * @param options - Address of the peer, function that sends requests, and time limit.
 */
export function createTrpcLink<T extends AnyTRPCRouter>(
  options: TrpcLinkOptions,
): TRPCLink<T> {
  return () => ({ op }) =>
    observable((observer) => {
      sendCall(options, op).then((data) => {
        observer.next({ result: { type: "data", data } });
        observer.complete();
      }, (error: unknown) => {
        observer.error(TRPCClientError.from(error as Error));
      });
    });
}

async function sendCall(
  { address, fetch, timeoutMs }: TrpcLinkOptions,
  { type, path, input }: Operation,
): Promise<unknown> {
  const url = `http://${address}/${path}`;
  const text = input === undefined ? undefined : JSON.stringify(input);
  const query = text === undefined ? "" : `?input=${encodeURIComponent(text)}`;
  const response = type === "mutation"
    ? await fetch(url, { method: "POST", body: text ?? "", timeoutMs })
    : await fetch(`${url}${query}`, { method: "GET", timeoutMs });
  const body = await response.json() as {
    result?: { data?: unknown };
    error?: { message?: string };
  };
  if (body.result === undefined) {
    throw new Error(
      body.error?.message ??
        `The peer responded with status ${response.status}`,
    );
  }
  return body.result.data;
}
