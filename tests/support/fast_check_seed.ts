import process from "node:process";
import fc from "fast-check";

const DEFAULT_SEED = 20261204;

// A random seed would give another verdict in another run; FC_SEED tries other histories.
fc.configureGlobal({ seed: Number(process.env.FC_SEED ?? DEFAULT_SEED) });
