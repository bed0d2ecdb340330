import process from "node:process";
import "../src/process/daemon.ts";

/** Time after which the process exits if its parent ended without stopping it, in milliseconds. */
const MAX_LIFETIME_MS = 300_000;

// Loads the daemon's modules without starting a daemon, so that its resident memory is the baseline for a running daemon.
process.stdout.write(`${JSON.stringify({ ready: true })}\n`);
setTimeout(() => undefined, MAX_LIFETIME_MS);
