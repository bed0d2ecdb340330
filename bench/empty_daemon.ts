import process from "node:process";
import "../src/process/daemon.ts";

/** Longest life of the process, should its parent end without stopping it. */
const MAX_LIFETIME_MS = 300_000;

// Loads the daemon's libraries and does nothing, as the reference for the daemon's memory.
process.stdout.write(`${JSON.stringify({ ready: true })}\n`);
setTimeout(() => undefined, MAX_LIFETIME_MS);
