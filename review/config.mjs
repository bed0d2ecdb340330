// Configuration of a small deployment, as the operator writes it.
import { HOST } from "./run.mjs";

export const KEY = "n2ctnfzs989anu6wsjnb";
export const SECOND_KEY = "anfqasnmgkcuyj8pjbvk";

export const route = (name, pathPrefix, kind, service, more = {}) => ({
  Name: name, Hostname: HOST, PathPrefix: pathPrefix, Kind: kind, Service: service, TimeoutMs: 2000,
  TargetLatencyMs: 300, Priority: 2, MaxAttempts: kind === "non_idempotent" ? 1 : 2, Public: false, Sticky: false, Resumable: false, ...more,
});

export const plainService = (name) => ({
  Name: name, HealthPath: "/health", MaxConnections: 100, Protocol: "h1", Tls: false, ColdStartS: 0, ColdPerS: 0,
});

export const modelService = (name, models) => ({
  Name: name, HealthPath: "/health", MaxConnections: 298, Protocol: "h1", Tls: false, ColdStartS: 0, ColdPerS: 0,
  Engine: {
    Slots: 12, KvCapacity: 1312941, KvTokenBytes: 136362, LinkMbps: 400000, Stride: 5, Models: models,
    step_ms: 7.8, per_seq_ms: 0.134, context_per_k: 0.0136, read_per_s: 45900, pairs_per_m: 0.433, chunk: 2048,
    report_lag_ms: 200, LoadsPerS: 5, loads_at_once: 7, delays: [], usual: { prompt: 979, answer: 154 }, Keeps: 1, far_x: 2.5, FormMs: 300,
  },
});

export const config = (version, { routes, services, keys = [KEY, SECOND_KEY] }) => ({
  Version: version, Routes: routes, Services: services,
  Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
  Tenants: [{ Name: "hule930", ApiKeys: keys, Priority: 1 }, { Name: "zuba214", ApiKeys: ["k7fqp2m9x1c4v8b3n6t0"], Priority: 2 }],
});
