import yargs, { type Argv } from "yargs";
import { CliError } from "./cli_error.ts";
import { changeVm, changeZone } from "./commands/change_commands.ts";
import {
  applyConfig,
  checkConfig,
  printConfig,
  printConfigDiff,
  printConfigHistory,
} from "./commands/config_commands.ts";
import { printRouteExplanation } from "./commands/route_commands.ts";
import {
  clearQuarantine,
  printQuarantine,
  printRequestExplanation,
  printStatus,
  printTimeline,
} from "./commands/report_commands.ts";
import type { CommandContext, Output } from "./command_context.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { OperatorClient } from "./operator_client.ts";

const DEFAULT_DAEMON_URL = "http://127.0.0.1:8082";
const VERSION = "0.1.0";
const DEFAULT_TIMELINE_EVENT_COUNT = 200;

/** Arguments, environment and output of one run of the tool. */
export interface CliOptions {
  readonly args: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
  readonly errorOutput: Output;
}

interface GlobalArguments {
  daemon: string;
  json: boolean;
  operator: string;
}

type CommandHandler = (context: CommandContext) => Promise<number>;

/** Command-line tool for operators. */
export class Cli {
  readonly #options: CliOptions;
  #commandHandler: CommandHandler | undefined;

  constructor(options: CliOptions) {
    this.#options = options;
  }

  /**
   * Parses the arguments and runs the command that they name.
   *
   * @returns The exit code.
   */
  async run(): Promise<number> {
    try {
      const { args, text } = await this.#parse();
      if (text !== "") {
        this.#options.output.write(text);
      }
      return this.#commandHandler === undefined
        ? EXIT_CODES.ok
        : await this.#commandHandler(this.#createContext(args));
    } catch (error) {
      if (!(error instanceof CliError)) {
        throw error;
      }
      this.#options.errorOutput.write(error.message);
      return EXIT_CODES[error.reason];
    }
  }

  async #parse(): Promise<{ args: GlobalArguments; text: string }> {
    let text = "";
    const parser = this.#createParser();
    const args = await parser.parseAsync(
      [...this.#options.args],
      {},
      (_error, _args, output) => {
        text = output;
      },
    );
    return { args: args as unknown as GlobalArguments, text };
  }

  #createContext(args: GlobalArguments): CommandContext {
    return {
      client: createClient(args.daemon),
      output: this.#options.output,
      json: args.json,
      operator: args.operator,
    };
  }

  #createParser(): Argv {
    const { environment } = this.#options;
    const parser = yargs()
      .scriptName("tarragontally")
      .usage("$0 <command>")
      .option("daemon", {
        type: "string",
        default: environment.TARRAGONTALLY_DAEMON ?? DEFAULT_DAEMON_URL,
        describe: "Base URL of a daemon's operator port",
      })
      .option("json", {
        type: "boolean",
        default: false,
        describe: "Prints JSON instead of tables",
      })
      .option("operator", {
        type: "string",
        default: environment.USER ?? "unknown",
        describe: "Name that is recorded with a configuration change",
      })
      .command(
        "config",
        "Configuration document",
        (y) => this.#addConfigCommands(y),
      )
      .command("status", "Zones, models, groups and VMs", () => {}, () => {
        this.#commandHandler = printStatus;
      })
      .command("zone", "Availability zones", (y) => this.#addZoneCommands(y))
      .command("vm", "VMs", (y) => this.#addVmCommands(y))
      .command(
        "timeline",
        "Events of all daemons",
        (y) =>
          y.option("request", {
            type: "string",
            describe:
              "ID of the request whose events are printed; all by default",
          })
            .option("last", {
              type: "number",
              default: DEFAULT_TIMELINE_EVENT_COUNT,
              describe:
                "Maximum number of events to print; older ones are omitted",
            }),
        (args) => {
          this.#commandHandler = (context) => printTimeline(context, args);
        },
      )
      .command(
        "explain-route",
        "Explains where a request would go now, without sending it",
        (y) => this.#addRouteOptions(y),
        (args) => {
          const { host, path, account, model } = args;
          this.#commandHandler = (context) =>
            printRouteExplanation(context, { host, path, account, model });
        },
      )
      .command("request", "Requests", (y) => this.#addRequestCommands(y))
      .command(
        "quarantine",
        "Quarantined requests, which crashed groups",
        (y) => this.#addQuarantineCommands(y),
      );
    return parser
      .demandCommand(1, "Specify a command")
      .strict()
      .recommendCommands()
      .version(VERSION)
      .help()
      .exitProcess(false)
      .fail((message, error) => {
        throw error instanceof CliError
          ? error
          : new CliError("usage", `${message ?? error.message}; see --help`);
      });
  }

  #addConfigCommands(y: Argv): Argv {
    return y
      .command(
        "check <file>",
        "Checks a document without applying it",
        (c) =>
          c.positional("file", { type: "string", demandOption: true })
            .option("offline", {
              type: "boolean",
              default: false,
              describe: "Checks only the schema, without a daemon",
            }),
        (args) => {
          this.#commandHandler = (context) => checkConfig(context, args);
        },
      )
      .command(
        "show",
        "Prints the configuration in force",
        (c) =>
          c.option("at", {
            type: "number",
            describe: "Version to print; the one in force by default",
          }),
        (args) => {
          this.#commandHandler = (context) =>
            printConfig(context, { version: args.at });
        },
      )
      .command(
        "diff <file>",
        "Prints the differences between the configuration in force and a document",
        (c) => c.positional("file", { type: "string", demandOption: true }),
        (args) => {
          this.#commandHandler = (context) => printConfigDiff(context, args);
        },
      )
      .command(
        "apply <file>",
        "Submits a document as the new configuration",
        (c) =>
          c.positional("file", { type: "string", demandOption: true })
            .option("expected-version", {
              type: "number",
              describe: "Version that the document is based on",
            }),
        (args) => {
          this.#commandHandler = (context) => applyConfig(context, args);
        },
      )
      .command("history", "Lists the stored versions", () => {}, () => {
        this.#commandHandler = printConfigHistory;
      })
      .demandCommand(1, "Specify a subcommand of config");
  }

  #addZoneCommands(y: Argv): Argv {
    return y
      .command(
        "take-out <zone>",
        "Takes an availability zone out of service",
        (c) =>
          c.positional("zone", { type: "string", demandOption: true })
            .option("confirm-no-capacity", {
              type: "string",
              array: true,
              default: [] as string[],
              describe: "Models that may be left without capacity",
            }),
        (args) => {
          this.#commandHandler = (context) =>
            changeZone(context, {
              zone: args.zone,
              isTakenOut: true,
              modelsConfirmedWithoutCapacity: args.confirmNoCapacity,
            });
        },
      )
      .command(
        "bring-back <zone>",
        "Brings an availability zone back into service",
        (c) => c.positional("zone", { type: "string", demandOption: true }),
        (args) => {
          this.#commandHandler = (context) =>
            changeZone(context, {
              zone: args.zone,
              isTakenOut: false,
              modelsConfirmedWithoutCapacity: [],
            });
        },
      )
      .demandCommand(1, "Specify a subcommand of zone");
  }

  #addVmCommands(y: Argv): Argv {
    const addVmCommand = (
      name: string,
      description: string,
      isDrained: boolean,
    ) =>
      y.command(
        `${name} <vm>`,
        description,
        (c) => c.positional("vm", { type: "string", demandOption: true }),
        (args) => {
          this.#commandHandler = (context) =>
            changeVm(context, { vm: args.vm, isDrained });
        },
      );
    addVmCommand(
      "drain",
      "Takes a VM out of its group and out of service",
      true,
    );
    addVmCommand("bring-back", "Brings a drained VM back into service", false);
    return y.demandCommand(1, "Specify a subcommand of vm");
  }

  #addRouteOptions(y: Argv) {
    return y
      .option("host", {
        type: "string",
        demandOption: true,
        describe: "Host of the request",
      })
      .option("path", {
        type: "string",
        demandOption: true,
        describe: "Path of the request",
      })
      .option("account", {
        type: "string",
        describe: "Name of the client account; none by default",
      })
      .option("model", {
        type: "string",
        describe: "Model of the request; none for a plain service",
      });
  }

  #addRequestCommands(y: Argv): Argv {
    return y
      .command(
        "explain <id>",
        "Explains where a request was sent and why",
        (c) => c.positional("id", { type: "string", demandOption: true }),
        (args) => {
          this.#commandHandler = (context) =>
            printRequestExplanation(context, args);
        },
      )
      .demandCommand(1, "Specify a subcommand of request");
  }

  #addQuarantineCommands(y: Argv): Argv {
    return y
      .command("list", "Lists quarantined requests", () => {}, () => {
        this.#commandHandler = printQuarantine;
      })
      .command(
        "clear [fingerprint]",
        "Removes one request, or all, from the quarantine",
        (c) => c.positional("fingerprint", { type: "string" }),
        (args) => {
          this.#commandHandler = (context) => clearQuarantine(context, args);
        },
      )
      .demandCommand(1, "Specify a subcommand of quarantine");
  }
}

function createClient(url: string): OperatorClient {
  if (!/^https?:/.test(url) || !URL.canParse(url)) {
    throw new CliError(
      "usage",
      `The value "${url}" of --daemon is no URL; give one like ${DEFAULT_DAEMON_URL}`,
    );
  }
  return new OperatorClient({ url });
}
