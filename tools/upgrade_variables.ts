/** Environment variables that pass directories to the launcher of an upgrade trial. */
export const UPGRADE_VARIABLES = {
  oldBuild: "UPGRADE_OLD_BUILD",
  newBuild: "UPGRADE_NEW_BUILD",
  /** Directory with one file per daemon, which has a line for each start of the daemon. */
  directory: "UPGRADE_DIRECTORY",
} as const;
