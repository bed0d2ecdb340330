import type { DaemonDescription } from "../../src/connection/peer_notice.ts";

/** Creates the description of a daemon. */
export function createDaemonDescription(
  name: string,
  daemon: Partial<DaemonDescription> = {},
): DaemonDescription {
  return {
    name,
    address: `${name}:1`,
    zone: "z",
    processorCores: 1,
    ...daemon,
  };
}
