import type { SimulatedDaemon } from "./simulated_daemon.ts";
import type { SimulatedServer } from "./simulated_server.ts";

/** Describes the groups and daemons of a world for a message. */
export function describeState(
  servers: readonly SimulatedServer[],
  daemons: readonly SimulatedDaemon[],
): string {
  const serverTexts = servers.map(({ id, isRunning, group }) =>
    `${id}${isRunning ? "" : " ended"}: ${
      group === undefined ? "-" : `${group.name} ${group.state}`
    }`
  );
  const daemonTexts = daemons.map(({ name, lease, groups }) =>
    `${name}: term ${lease.getTerm() ?? "-"}, serving ${
      groups.listAll().map((group) => group.name).join() || "-"
    }`
  );
  return [...serverTexts, ...daemonTexts].join("; ");
}

/** Gets a text that is equal for equal visible states of the servers. Names of groups are left out, since they rise with each formation. */
export function getServersKey(servers: readonly SimulatedServer[]): string {
  const groupNames = servers.map(({ group }) => group?.name ?? "");
  return servers.map(({ isRunning, isSilent, group, rank }) =>
    [
      isRunning,
      isSilent,
      group?.state,
      group?.isOpening,
      groupNames.indexOf(group?.name ?? ""),
      rank,
    ].join()
  ).join(" ");
}
