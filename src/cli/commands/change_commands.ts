import type { ConfigDocument } from "../../version/config_schema.ts";
import { CliError } from "../cli_error.ts";
import type { CommandContext } from "../command_context.ts";
import { printAcceptResult } from "./config_commands.ts";

const MAX_ACCEPT_ATTEMPTS = 5;

/**
 * Takes an availability zone out of service, or brings it back.
 *
 * @param context - Context of the command.
 * @param options - Availability zone, its new state, and the models that may be left without capacity.
 */
export function changeZone(
  context: CommandContext,
  options: {
    zone: string;
    isTakenOut: boolean;
    modelsConfirmedWithoutCapacity: readonly string[];
  },
): Promise<number> {
  return changeDocument(context, (document) => {
    const zone = document.zones.find((z) => z.name === options.zone);
    if (zone === undefined) {
      const names = document.zones.map((z) => z.name).join(", ");
      throw new CliError(
        "usage",
        `The availability zone "${options.zone}" does not exist; choose one of ${names}`,
      );
    }
    zone.takenOut = options.isTakenOut;
    document.confirmNoCapacityFor = [
      ...new Set([
        ...document.confirmNoCapacityFor,
        ...options.modelsConfirmedWithoutCapacity,
      ]),
    ];
  });
}

/**
 * Drains a VM, or brings it back into service.
 *
 * @param context - Context of the command.
 * @param options - VM and its new state.
 */
export function changeVm(
  context: CommandContext,
  options: { vm: string; isDrained: boolean },
): Promise<number> {
  return changeDocument(context, (document) => {
    const otherVms = document.drainedVms.filter((name) => name !== options.vm);
    document.drainedVms = options.isDrained
      ? [...otherVms, options.vm]
      : otherVms;
  });
}

/**
 * Applies a change to the configuration in force. After a conflict with another operator's change, the change is applied to the newer document and submitted again, since such changes do not depend on each other.
 */
async function changeDocument(
  context: CommandContext,
  change: (document: ConfigDocument) => void,
): Promise<number> {
  for (let attempt = 1;; attempt++) {
    const current = await context.client.getConfig();
    const document = structuredClone(current.document);
    change(document);
    const result = await context.client.acceptConfig({
      document,
      baseVersion: current.version,
      operator: context.operator,
    });
    if (result.outcome !== "conflict" || attempt === MAX_ACCEPT_ATTEMPTS) {
      return printAcceptResult(context, result);
    }
  }
}
