/** Environment variables from which the launcher of an upgrade trial takes its directories. */
export const UPGRADE_VARIABLES = {
  oldBuild: "UPGRADE_OLD_BUILD",
  newBuild: "UPGRADE_NEW_BUILD",
  /** Directory of the files that count the starts of each daemon. */
  directory: "UPGRADE_DIRECTORY",
} as const;
