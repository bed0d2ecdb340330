/** Name, zone and addresses of one daemon on the platform. */
export interface PlatformDaemonAddresses {
  readonly name: string;
  readonly zone: string;
  readonly ip: string;
  readonly caller: string;
  readonly ready: string;
  readonly peerPort: number;
  readonly store: string;
  /** Calls that are the duty of one daemon at a time; none by default. */
  readonly duties?: PlatformDuties;
}

/** Duties in the settings file, and the address of their API. */
export interface PlatformDuties {
  readonly address: string;
  readonly kinds: readonly string[];
  readonly leaseMs: number;
  readonly windowS: number;
}

/** Creates the content of the settings file that the platform writes for a daemon. */
export function createPlatformSettings(
  daemon: PlatformDaemonAddresses,
): string {
  const { duties } = daemon;
  return JSON.stringify({
    NodeName: daemon.name,
    Ip: daemon.ip,
    Zone: daemon.zone,
    Listen: { Front: daemon.caller, Ready: daemon.ready },
    InternalPorts: [daemon.peerPort, daemon.peerPort],
    Limits: { CpuShare: 1, CpuCores: 1, MemoryMb: 350 },
    Bounds: {
      FenceChecked: true,
      RetrySlack: 100,
      ...(duties === undefined
        ? {}
        : { LeaseMs: duties.leaseMs, ReportWindowS: duties.windowS }),
    },
    PlatformApi: { Address: daemon.store },
    Cloud: duties === undefined ? undefined : {
      Address: duties.address,
      Duties: duties.kinds,
      DutyPerS: 50,
    },
  });
}

/** Kind of the objects that exclude zones from service; each is named after its zone. */
export const EXCLUDED_ZONE_KIND = "evacuations";

/** Creates a configuration with one model, one plain service and one client account that has the API keys. */
export function createPlatformConfig(
  version: number,
  apiKeys: readonly string[] = ["key-1"],
) {
  const route = { Hostname: "app.example", TimeoutMs: 6_000, Priority: 1 };
  return {
    Version: version,
    Routes: [
      {
        ...route,
        Name: "model",
        PathPrefix: "/model/",
        Kind: "streaming",
        Service: "models",
        MaxAttempts: 2,
        Resumable: true,
        TargetLatencyMs: 300,
        GapTargetMs: 300,
      },
      {
        ...route,
        Name: "book",
        PathPrefix: "/book/",
        Kind: "non_idempotent",
        Service: "app",
        MaxAttempts: 1,
      },
      {
        ...route,
        Name: "look",
        PathPrefix: "/look/",
        Kind: "idempotent",
        Service: "app",
        MaxAttempts: 2,
      },
    ],
    Services: [
      {
        Name: "models",
        HealthPath: "/health",
        Engine: {
          Slots: 4,
          FormMs: 50,
          step_ms: 5,
          read_per_s: 45_000,
          LoadsPerS: 20,
          loads_at_once: 20,
          Models: [{
            Name: "m",
            size: 2,
            Share: 1,
            pace: 1,
            LoadS: 0.1,
            WarmS: 0.1,
          }],
        },
      },
      { Name: "app", HealthPath: "/health" },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_096,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: "account-1", ApiKeys: apiKeys, Priority: 1 }],
  };
}

/** Creates the headers of a client's request. */
export function createClientHeaders(
  requestId: string,
  apiKey: string,
  deadlineMs: number,
): Record<string, string> {
  return {
    Host: "app.example",
    "Request-Id": requestId,
    Credential: apiKey,
    "Deadline-Ms": String(deadlineMs),
  };
}

/** Additional headers of a model request. */
export const MODEL_HEADERS = { Model: "m", "Token-Usage": "10,20" };

/** Environment variable that contains the path of the settings file. */
export const SETTINGS_VARIABLE = "TARRAGONTALLY_BOOT";
