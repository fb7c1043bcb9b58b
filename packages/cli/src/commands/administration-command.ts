/**
 * Base class and helpers of the commands that call the administration API.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Command, Option, UsageError } from "clipanion";
import type { Result } from "true-myth";
import type { z } from "zod";
import { type CallError, callNode, type NodeCall } from "../node-call.ts";
import { ExitCode } from "../exit-code.ts";

/** Environment variable that holds the administration token. */
export const TOKEN_VARIABLE = "ZINNIAHILL_TOKEN";

const EXIT_CODES = {
  unreachable: ExitCode.unreachable,
  refused: ExitCode.refused,
} as const;

/** Prints a failed call and returns its exit code. */
export function reportCallError(command: Command, error: CallError): ExitCode {
  command.context.stderr.write(`zinniahill: ${error.message}\n`);
  return EXIT_CODES[error.kind];
}

/** Reads a file that was named on the command line. */
export function readInputFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch {
    throw new UsageError(`cannot read the file ${path}`);
  }
}

/** Parses the value of an option as a whole number. */
export function parseCount(option: string, text: string): number {
  if (!/^\d+$/.test(text)) {
    throw new UsageError(`${option}: expected a whole number, found "${text}"`);
  }
  return Number(text);
}

/** Calls the administration API of a node with the token of the environment. */
export function callAdministration<ResponseBody>(
  command: Command,
  call: Omit<NodeCall<ResponseBody>, "token">,
): Promise<Result<ResponseBody, CallError>> {
  const token = command.context.env[TOKEN_VARIABLE] ?? "";
  return callNode({ ...call, token });
}

/** A command that calls the administration API of a node. */
export abstract class AdministrationCommand extends Command {
  admin = Option.String("--admin", {
    required: true,
    description: "Administration address of a node, such as 127.0.0.1:7101",
  });

  /** Calls the administration API. */
  protected call<ResponseBody>(
    method: "GET" | "POST",
    path: string,
    schema: z.ZodType<ResponseBody>,
    body?: unknown,
  ): Promise<Result<ResponseBody, CallError>> {
    const address = this.admin;
    return callAdministration(this, { address, method, path, schema, body });
  }

  /** Writes a line to standard output. */
  protected print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}
