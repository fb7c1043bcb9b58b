/**
 * Common parts of the scripts of the second review: nodes as processes with the
 * command of the deploy file, over the project's stand-ins of the platform.
 *
 * @module
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  createNodeSettings,
  FLEET_HOST,
  FLEET_KEY,
  FLEET_MODEL,
} from "../stand-ins/dist/index.js";
import { request } from "undici";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..");
/** A case ends by then, whatever happens. */
const TIME_LIMIT_MS = 115_000;
const POLL_MS = 20;
const DEADLINE_MS = 2500;
const PATIENCE_MS = 500;

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Whether the case is run with its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Processes that a case has started; none outlives it. */
const children = new Set();
process.on("exit", () => children.forEach((child) => child.kill("SIGKILL")));
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.on(signal, () => process.exit(NOT_RUN));
}
setTimeout(() => process.exit(NOT_RUN), TIME_LIMIT_MS).unref();

/** Ends a process with the case at the latest. */
export function own(child) {
  children.add(child);
  child.on("exit", () => children.delete(child));
  return child;
}

/** The command of the deploy file's only role. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** The record of a case, with the time since its start. */
export class Record {
  #file;
  #startedAt = performance.now();

  constructor(folder) {
    this.#file = join(folder, "record.txt");
    writeFileSync(this.#file, "");
  }

  get now() {
    return performance.now() - this.#startedAt;
  }

  note(text) {
    const seconds = (this.now / 1000).toFixed(3).padStart(8);
    appendFileSync(this.#file, `${seconds}  ${text}\n`);
  }
}

/** One node of the system. */
export class Node {
  #child;
  #file;
  #log;

  constructor({ index, store, folder, block, settings = {} }) {
    this.name = `front-z1-${index + 1}`;
    this.ip = `127.${block}.0.${index + 1}`;
    this.port = 7340;
    this.folder = folder;
    this.#file = join(folder, `${this.name}.toml`);
    this.#log = join(folder, `${this.name}.log`);
    writeFileSync(
      this.#file,
      createNodeSettings({
        name: this.name,
        ip: this.ip,
        port: this.port,
        store,
        ...settings,
      }),
    );
  }

  get front() {
    return `${this.ip}:${this.port + 6}`;
  }

  get ready() {
    return `${this.ip}:${this.port + 7}`;
  }

  get metrics() {
    return `${this.ip}:9464`;
  }

  get isRunning() {
    return this.#child !== undefined;
  }

  get pid() {
    return this.#child?.pid;
  }

  start() {
    const [program, ...args] = readCommand();
    const log = createWriteStream(this.#log, { flags: "a" });
    const child = own(spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, ZINNIAHILL_SETTINGS: this.#file },
    }));
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    this.exited = new Promise((resolve) =>
      child.on("exit", (code, signal) => {
        if (this.#child === child) {
          this.#child = undefined;
        }
        resolve({ code, signal });
      })
    );
    this.#child = child;
  }

  signal(signal) {
    this.#child?.kill(signal);
  }

  readLog() {
    return readFileSync(this.#log, "utf8");
  }

  /** Whether the node says that it is ready. */
  async isReady() {
    try {
      const reply = await fetch(`http://${this.ready}/zinniahill/readiness`, {
        signal: AbortSignal.timeout(500),
      });
      await reply.arrayBuffer();
      return reply.status === 200;
    } catch {
      return false;
    }
  }
}

/** A temporary folder, which is removed at the end. */
export function createFolder() {
  return mkdtempSync(join(tmpdir(), "review-"));
}

export function removeFolder(folder) {
  rmSync(folder, { recursive: true, force: true });
}

/** A block of loopback addresses on which nothing listens. */
export async function findBlock(ports = [7346, 9464]) {
  for (;;) {
    const block = 20 + Math.floor(Math.random() * 200);
    const free = await Promise.all(
      ports.map((port) => isFree(`127.${block}.0.1`, port)),
    );
    if (free.every(Boolean)) {
      return block;
    }
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Waits until a condition holds; false if it does not in time. */
export async function waitFor(isMet, limitMs) {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    if (await isMet()) {
      return true;
    }
    await sleep(POLL_MS);
  }
  return false;
}

/** Sends calls to nodes in turn until it is stopped, and records the answers. */
export class Callers {
  #record;
  #nodes;
  #kinds;
  #timer;
  #sent = 0;
  #open = new Set();
  answers = [];

  constructor(record, nodes, kinds) {
    this.#record = record;
    this.#nodes = nodes;
    this.#kinds = kinds;
  }

  start(intervalMs) {
    this.#timer = setInterval(() => this.#call(), intervalMs);
  }

  async stop() {
    clearInterval(this.#timer);
    await Promise.all(this.#open);
  }

  #call() {
    const number = this.#sent++;
    const node = this.#nodes[number % this.#nodes.length];
    const kind = this.#kinds[number % this.#kinds.length];
    const call = this.#send(node, kind, `a-${number}`);
    this.#open.add(call);
    call.finally(() => this.#open.delete(call));
  }

  async #send(node, kind, attempt) {
    this.#record.note(`sent ${attempt} ${kind} to ${node.name}`);
    let status = 0;
    let isWhole = false;
    try {
      const reply = await request(`http://${node.front}/${kind}/1`, {
        method: "POST",
        headers: {
          host: FLEET_HOST,
          "x-attempt-id": attempt,
          "x-deadline-ms": String(DEADLINE_MS),
          "x-model": FLEET_MODEL,
          "x-token-count": "100,36",
          "x-prompt-prefix": `5c1e07a2:80,${number(attempt)}:20`,
          authorization: `Bearer ${FLEET_KEY}`,
        },
        body: "{}",
        signal: AbortSignal.timeout(DEADLINE_MS + PATIENCE_MS),
      });
      status = reply.statusCode;
      await reply.body.text();
      isWhole = true;
    } catch {
      // The status and the record tell what has come of it.
    }
    this.answers.push({ attempt, kind, status, isWhole });
    const end = isWhole ? "whole" : "broken off";
    this.#record.note(`answered ${attempt} with ${status}, ${end}`);
  }
}

function number(attempt) {
  return attempt.slice("a-".length).padStart(8, "0");
}

/** Notes the runs of all runners. */
export function noteRuns(record, fleet) {
  for (const runner of [...fleet.runners, ...fleet.records]) {
    for (const { attempt } of runner.runs) {
      record.note(`run ${attempt} by ${runner.id}`);
    }
  }
}
