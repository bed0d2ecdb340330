import { parseAddress } from "../../connection/backend_transport.ts";
import type { DaemonDescription } from "../../connection/peer_notice.ts";

const MAX_NAME_LENGTH = 256;
const MAX_PORT = 65_535;
const MAX_PROCESSOR_CORES = 10_000;
const NAME_PATTERN = /^\P{Cc}+$/u;

/**
 * Decodes the description of a daemon that the store or a peer contains. Other fields are left out, so that they do not go to further daemons.
 *
 * @param value - Description of any form.
 * @returns The description, or undefined when no link can be opened with it.
 */
export function decodeDescription(
  value: unknown,
): DaemonDescription | undefined {
  const { name, address, zone, processorCores } = (value ?? {}) as Partial<
    DaemonDescription
  >;
  return isName(name) && isName(address) && isName(zone) &&
      hasPort(address) && isCoreCount(processorCores)
    ? { name, address, zone, processorCores }
    : undefined;
}

function isName(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_NAME_LENGTH &&
    NAME_PATTERN.test(value);
}

function hasPort(address: string): boolean {
  const { host, port } = parseAddress(address);
  return host !== "" && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}

function isCoreCount(value: unknown): value is number {
  return typeof value === "number" && value >= 0 &&
    value <= MAX_PROCESSOR_CORES;
}
