#!/usr/bin/env node
/**
 * The binary `zinniahill`.
 *
 * @module
 */
import process from "node:process";
import { createCli } from "./commands.ts";

await createCli().runExit(process.argv.slice(2));
