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

/** Input of `checkConfigRules`. */
export interface ConfigRulesInput {
  /** Document in force, or undefined when none has been accepted yet. */
  readonly current?: ConfigDocument;
  /** Document to check. */
  readonly document: ConfigDocument;
  /** VMs of the VM directory; when undefined, the check that all groups fit onto the VMs is skipped. */
  readonly vms?: readonly Vm[];
  /** Current time in milliseconds since the epoch; quiet hours are checked from then on. */
  readonly nowMs: number;
}

/**
 * Checks a document against the rules that the schema cannot express.
 *
 * @param input - Documents, VMs and current time.
 * @returns The faults; empty when the document is acceptable.
 * @example
 * ```ts
 * const faults = checkConfigRules({ current, document, nowMs: Date.now() });
 * ```
 */
export function checkConfigRules(input: ConfigRulesInput): ConfigFault[] {
  const { document } = input;
  const timeZoneFaults = checkQuietHoursTimeZones(document);
  return [
    ...checkNames(document),
    ...timeZoneFaults,
    ...checkZoneReferences(document),
    ...checkAdapters(document),
    ...checkBackendZones(document),
    ...checkGroupsFit(input),
    // Windows with an unknown time zone cannot be converted to instants.
    ...(timeZoneFaults.length === 0 ? checkLastCapacity(input) : []),
  ];
}

function checkNames(document: ConfigDocument): ConfigFault[] {
  return [
    ...checkDuplicates("zones", document.zones.map((z) => z.name)),
    ...checkDuplicates("models", document.models.map((m) => m.name)),
    ...checkDuplicates("services", document.services.map((s) => s.name)),
    ...checkDuplicates(
      "clientAccounts",
      document.clientAccounts.map((a) => a.name),
    ),
    ...checkApiKeys(document),
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

function checkApiKeys(document: ConfigDocument): ConfigFault[] {
  const accountNameByDigest = new Map<string, string>();
  return document.clientAccounts.flatMap((account, index) =>
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

function checkQuietHoursTimeZones(document: ConfigDocument): ConfigFault[] {
  return document.zones.flatMap((zone, index) =>
    zone.quietHours.flatMap((window, windowIndex) =>
      isKnownTimeZone(window.timeZone) ? [] : [{
        path: `zones.${index}.quietHours.${windowIndex}.timeZone`,
        message: `The time zone "${window.timeZone}" is not an IANA time zone.`,
      }]
    )
  );
}

function checkZoneReferences(document: ConfigDocument): ConfigFault[] {
  const zoneNames = new Set(document.zones.map((z) => z.name));
  return document.models.flatMap((model, index) =>
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

function checkAdapters(document: ConfigDocument): ConfigFault[] {
  const modelNames = new Set(document.models.map((m) => m.name));
  return document.models.flatMap((model, index) =>
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

function checkBackendZones(document: ConfigDocument): ConfigFault[] {
  const zoneNames = new Set(document.zones.map((z) => z.name));
  return document.services.flatMap((service, index) =>
    service.backends.flatMap((backend, backendIndex) =>
      zoneNames.has(backend.zone) ? [] : [{
        path: `services.${index}.backends.${backendIndex}.zone`,
        message:
          `The service "${service.name}" has a backend server in the zone "${backend.zone}", which is not declared.`,
      }]
    )
  );
}

/** Checks that all groups of new and changed models fit onto the listed VMs, assuming that every zone and VM is in service. */
function checkGroupsFit(input: ConfigRulesInput): ConfigFault[] {
  const { current, document, vms } = input;
  if (vms === undefined) {
    return [];
  }
  const assignment = planAssignment({
    document: { ...document, drainedVms: [] },
    vms: vms.filter((vm) => vm.role === "backend"),
    placements: [],
    isZoneOpen: () => true,
  });
  return document.models.flatMap((model, index) => {
    const currentModel = current?.models.find((m) => m.name === model.name);
    // A change that takes a zone out of service must not be refused because VMs are missing for groups that were accepted earlier.
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
        `The model "${model.name}" requires ${requestedCount} groups of ${model.groupSizeVms} VMs, but only ${fittingCount} fit into the fabric domains.`,
    }];
  });
}

/** Checks that the change leaves no model without capacity at any time, unless the document confirms it for the model. */
function checkLastCapacity(input: ConfigRulesInput): ConfigFault[] {
  const { current, document, nowMs } = input;
  if (current === undefined) {
    return [];
  }
  return current.models.flatMap((model) => {
    const hadContinuousCapacity = !hasCapacityGap(current, {
      model: model.name,
      nowMs,
    });
    const isConfirmed = document.confirmNoCapacityFor.includes(model.name);
    if (
      !hadContinuousCapacity || isConfirmed ||
      !hasCapacityGap(document, { model: model.name, nowMs })
    ) {
      return [];
    }
    const index = document.models.findIndex((m) => m.name === model.name);
    return [{
      path: index < 0 ? "models" : `models.${index}.placements`,
      message:
        `The model "${model.name}" would have no capacity at some time; list it in "confirmNoCapacityFor" to accept this.`,
    }];
  });
}

/** Gets whether all zones of a model are out of service at the same time, now or within the coming week. */
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

/** Gets the spans of the windows whose time zone this runtime knows; the document in force may have been accepted by a daemon whose runtime knows other time zones. */
function getValidQuietSpans(zone: ZoneConfig, nowMs: number): TimeSpan[] {
  const windows = zone.quietHours.filter((w) => isKnownTimeZone(w.timeZone));
  return getQuietSpans(windows, nowMs);
}

/** Gets the intersection of two lists of spans. */
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
