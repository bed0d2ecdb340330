import type {
  DaemonDescription,
  PeerNotice,
} from "../../src/connection/peer_notice.ts";

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

/** Creates the notice of a daemon that exchanges notices with all other daemons and has no changes to report. */
export function createPeerNotice(
  name: string,
  notice: Partial<PeerNotice> = {},
): PeerNotice {
  return {
    sender: createDaemonDescription(name),
    relation: "equal",
    isLeaving: false,
    configVersion: 1,
    excludedZones: { revision: 0, zones: [] },
    serversRevision: 0,
    serversChangeRevision: 0,
    loads: [],
    waiting: 0,
    lostGroups: [],
    crashes: [],
    peersHash: 0,
    ...notice,
  };
}
