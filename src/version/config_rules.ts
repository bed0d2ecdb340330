import { isDeepStrictEqual } from "node:util";
import type { Vm } from "../connection/vm_directory.ts";
import type { ConfigFault } from "./config_rule.ts";
import { planAssignment } from "./domain_assignment.ts";
import type { ConfigDocument, ZoneConfig } from "./config_schema.ts";
import {
  getQuietSpans,
  isKnownTimeZone,
  mergeSpans,
  type TimeSpan,
} from "./quiet_hours.ts";

/** What the rules are checked against. */
export interface ConfigRulesInput {
  /** Document in force, or undefined before the first one. */
  readonly current?: ConfigDocument;
  readonly next: ConfigDocument;
  /** Listed VMs, where known; without them the fit of groups is not checked. */
  readonly vms?: readonly Vm[];
  /** Wall clock in milliseconds since the epoch, from which quiet hours are compared. */
  readonly nowMs: number;
}

/**
 * Checks the rules of acceptance that the schema alone cannot express.
 *
 * @param input - Documents, and the VMs where known.
 * @returns The faults in the order of the document; none when it is acceptable.
 * @example
 * ```ts
 * const faults = checkConfigRules({ current, next, nowMs: Date.now() });
 * ```
 */
export function checkConfigRules(input: ConfigRulesInput): ConfigFault[] {
  const { next } = input;
  const timeZoneFaults = checkQuietHoursTimeZones(next);
  return [
    ...checkNames(next),
    ...timeZoneFaults,
    ...checkZoneReferences(next),
    ...checkAdapters(next),
    ...checkBackendZones(next),
    ...checkGroupsFit(input),
    // Windows in an unknown time zone cannot be compared.
    ...(timeZoneFaults.length === 0 ? checkLastCapacity(input) : []),
  ];
}

function checkNames(next: ConfigDocument): ConfigFault[] {
  return [
    ...checkDuplicates("zones", next.zones.map((z) => z.name)),
    ...checkDuplicates("models", next.models.map((m) => m.name)),
    ...checkDuplicates("services", next.services.map((s) => s.name)),
    ...checkDuplicates(
      "clientAccounts",
      next.clientAccounts.map((a) => a.name),
    ),
    ...checkApiKeys(next),
  ];
}

function checkDuplicates(
  list: string,
  names: readonly string[],
): ConfigFault[] {
  return names.flatMap((name, index) =>
    names.indexOf(name) === index ? [] : [{
      path: `${list}.${index}.name`,
      message: `The name "${name}" is used more than once in "${list}".`,
    }]
  );
}

function checkApiKeys(next: ConfigDocument): ConfigFault[] {
  const accountNameByDigest = new Map<string, string>();
  return next.clientAccounts.flatMap((account, index) =>
    account.apiKeySha256.flatMap((digest, keyIndex) => {
      const accountName = accountNameByDigest.get(digest);
      accountNameByDigest.set(digest, accountName ?? account.name);
      return accountName === undefined ? [] : [{
        path: `clientAccounts.${index}.apiKeySha256.${keyIndex}`,
        message: `The API key already belongs to the account "${accountName}".`,
      }];
    })
  );
}

function checkQuietHoursTimeZones(next: ConfigDocument): ConfigFault[] {
  return next.zones.flatMap((zone, index) =>
    zone.quietHours.flatMap((window, windowIndex) =>
      isKnownTimeZone(window.timeZone) ? [] : [{
        path: `zones.${index}.quietHours.${windowIndex}.timeZone`,
        message: `The time zone "${window.timeZone}" is not an IANA time zone.`,
      }]
    )
  );
}

function checkZoneReferences(next: ConfigDocument): ConfigFault[] {
  const zoneNames = new Set(next.zones.map((z) => z.name));
  return next.models.flatMap((model, index) =>
    model.placements.flatMap((placement, placementIndex) =>
      placement.zones.flatMap((zone, zoneIndex) =>
        zoneNames.has(zone) ? [] : [{
          path:
            `models.${index}.placements.${placementIndex}.zones.${zoneIndex}`,
          message:
            `The model "${model.name}" names the zone "${zone}", which is not declared.`,
        }]
      )
    )
  );
}

function checkAdapters(next: ConfigDocument): ConfigFault[] {
  const modelNames = new Set(next.models.map((m) => m.name));
  return next.models.flatMap((model, index) =>
    model.adapters.flatMap((adapter, adapterIndex) => {
      const path = `models.${index}.adapters.${adapterIndex}`;
      if (model.adapters.indexOf(adapter) !== adapterIndex) {
        return [{
          path,
          message:
            `The model "${model.name}" lists the adapter "${adapter}" more than once.`,
        }];
      }
      return modelNames.has(adapter)
        ? [{
          path,
          message: `The adapter "${adapter}" has the name of a model.`,
        }]
        : [];
    })
  );
}

function checkBackendZones(next: ConfigDocument): ConfigFault[] {
  const zoneNames = new Set(next.zones.map((z) => z.name));
  return next.services.flatMap((service, index) =>
    service.backends.flatMap((backend, backendIndex) =>
      zoneNames.has(backend.zone) ? [] : [{
        path: `services.${index}.backends.${backendIndex}.zone`,
        message:
          `The service "${service.name}" has a backend server in the zone "${backend.zone}", which is not declared.`,
      }]
    )
  );
}

/** Checks that the listed VMs hold all groups of new and changed models while every zone and VM is in service. */
function checkGroupsFit(input: ConfigRulesInput): ConfigFault[] {
  const { current, next, vms } = input;
  if (vms === undefined) {
    return [];
  }
  const assignment = planAssignment({
    document: { ...next, drainedVms: [] },
    vms: vms.filter((vm) => vm.role === "backend"),
    placements: [],
    isZoneOpen: () => true,
  });
  return next.models.flatMap((model, index) => {
    const currentModel = current?.models.find((m) => m.name === model.name);
    // A take-out must not be refused since VMs are missing for groups that were accepted before.
    if (
      currentModel?.groupSizeVms === model.groupSizeVms &&
      isDeepStrictEqual(currentModel.placements, model.placements)
    ) {
      return [];
    }
    const requestedCount = model.placements.reduce(
      (sum, p) => sum + p.count,
      0,
    );
    const fittingCount = [...assignment.values()]
      .reduce((sum, models) => sum + (models.get(model.name) ?? 0), 0);
    return fittingCount >= requestedCount ? [] : [{
      path: `models.${index}.placements`,
      message:
        `The model "${model.name}" asks for ${requestedCount} groups of ${model.groupSizeVms} VMs, but only ${fittingCount} fit into the fabric domains.`,
    }];
  });
}

function checkLastCapacity(input: ConfigRulesInput): ConfigFault[] {
  const { current, next, nowMs } = input;
  if (current === undefined) {
    return [];
  }
  return current.models.flatMap((model) => {
    const hadNoCapacityGap = !hasCapacityGap(current, {
      model: model.name,
      nowMs,
    });
    const isConfirmed = next.confirmNoCapacityFor.includes(model.name);
    if (
      !hadNoCapacityGap || isConfirmed ||
      !hasCapacityGap(next, { model: model.name, nowMs })
    ) {
      return [];
    }
    const index = next.models.findIndex((m) => m.name === model.name);
    return [{
      path: index < 0 ? "models" : `models.${index}.placements`,
      message:
        `The model "${model.name}" would have no capacity at some time; list it in "confirmNoCapacityFor" to accept this.`,
    }];
  });
}

/** Gets whether there is a time in the coming week at which all zones of a model are out of service. */
function hasCapacityGap(
  document: ConfigDocument,
  options: { model: string; nowMs: number },
): boolean {
  const model = document.models.find((m) => m.name === options.model);
  const zoneNames = new Set(
    model?.placements.filter((p) => p.count > 0).flatMap((p) => p.zones),
  );
  const zonesInService = document.zones.filter((z) =>
    zoneNames.has(z.name) && !z.takenOut
  );
  let commonSpans: TimeSpan[] = [{ startMs: -Infinity, endMs: Infinity }];
  for (const zone of zonesInService) {
    commonSpans = intersectSpans(
      commonSpans,
      getQuietSpansWithMargin(document, zone, options.nowMs),
    );
  }
  return commonSpans.some((span) => span.endMs > options.nowMs);
}

function getQuietSpansWithMargin(
  document: ConfigDocument,
  zone: ZoneConfig,
  nowMs: number,
): TimeSpan[] {
  const marginMs = document.clockSkewMarginMs;
  return mergeSpans(
    getValidQuietSpans(zone, nowMs).map((span) => ({
      startMs: span.startMs - marginMs,
      endMs: span.endMs + marginMs,
    })),
  );
}

/** Gets the spans of the windows whose time zone is known; the document in force was checked by an older runtime. */
function getValidQuietSpans(zone: ZoneConfig, nowMs: number): TimeSpan[] {
  const windows = zone.quietHours.filter((w) => isKnownTimeZone(w.timeZone));
  return getQuietSpans(windows, nowMs);
}

/** Gets the spans that two lists have in common. */
function intersectSpans(
  a: readonly TimeSpan[],
  b: readonly TimeSpan[],
): TimeSpan[] {
  return a.flatMap((x) =>
    b.flatMap((y) => {
      const startMs = Math.max(x.startMs, y.startMs);
      const endMs = Math.min(x.endMs, y.endMs);
      return startMs < endMs ? [{ startMs, endMs }] : [];
    })
  );
}
