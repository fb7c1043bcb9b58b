/**
 * What all commands share that call the administration interface.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Command, Option, UsageError } from "clipanion";
import type { Result } from "true-myth";
import type { z } from "zod";
import { type CallError, callNode } from "../node-call.ts";
import { ExitCode } from "../exit-code.ts";

/** Environment variable that holds the administration token. */
export const TOKEN_VARIABLE = "ZINNIAHILL_TOKEN";

const EXIT_CODES = {
  unreachable: ExitCode.unreachable,
  refused: ExitCode.refused,
} as const;

/** Writes a fault and returns the exit code for it. */
export function reportCallError(command: Command, fault: CallError): ExitCode {
  command.context.stderr.write(`zinniahill: ${fault.message}\n`);
  return EXIT_CODES[fault.kind];
}

/** Reads a file that the command line names. */
export function readInputFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch {
    throw new UsageError(`cannot read the file ${path}`);
  }
}

/** Reads a whole number that the command line gives. */
export function parseCount(option: string, text: string): number {
  if (!/^\d+$/.test(text)) {
    throw new UsageError(`${option}: expected a whole number, found "${text}"`);
  }
  return Number(text);
}

/** A command that calls a node's administration interface. */
export abstract class AdministrationCommand extends Command {
  admin = Option.String("--admin", {
    required: true,
    description: "Administration address of a node, such as 127.0.0.1:7101",
  });

  /** Makes one administration call. */
  protected call<Reply>(
    method: "GET" | "POST",
    path: string,
    schema: z.ZodType<Reply>,
    body?: unknown,
  ): Promise<Result<Reply, CallError>> {
    const token = this.context.env[TOKEN_VARIABLE] ?? "";
    const address = this.admin;
    return callNode({ address, token, method, path, schema, body });
  }

  /** Writes one line to the standard output. */
  protected print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}
