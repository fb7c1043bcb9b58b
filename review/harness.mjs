/**
 * What the scripts of this review share: a small deployment of the project's
 * stand-ins, nodes as processes started with the command of the deploy file,
 * proxies before runners, a plain service of our own, and callers that keep
 * their channels.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, request } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  Fleet,
  FLEET_HOST,
  FLEET_KEY,
  FLEET_MODEL,
  FleetRunner,
} from "@zinniahill/stand-ins";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
export const MEMORY_MB = 480;
const RESTART_MS = 300;
const FILL_MS = 5;
const MAX_UNSENT_BYTES = 1024 * 1024;
/** `timeout_ms` of unsafe and safe requests in the site file. */
export const PLAIN_TIMEOUT_MS = 800;
const RECORDS = "records";
/** `beat_ms` of the site file. */
const HEARTBEAT_MS = 1200;
/** An entry is removed after so many heartbeat intervals of silence. */
const EXPIRY_BEATS = 3;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The command of the deploy file, split at spaces. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Writes `record.txt` beside a script. */
export class Record {
  #file;
  #startedAt = performance.now();

  constructor(script) {
    this.#file = join(dirname(fileURLToPath(script)), "record.txt");
    writeFileSync(this.#file, "");
  }

  add(what, fields = {}) {
    const ms = (performance.now() - this.#startedAt).toFixed(0).padStart(6);
    const list = Object.entries(fields).map(([key, value]) =>
      `${key}=${value}`
    );
    appendFileSync(this.#file, [ms, what, ...list].join(" ") + "\n");
  }

  say(text) {
    console.log(text);
    this.add(`# ${text}`);
  }
}

/** A node of the system, restarted by the "platform" when it ends. */
export class Node {
  starts = 0;
  /** Times at which it was killed for its memory. */
  kills = [];
  peakMb = 0;
  #record;
  #settings;
  #child;
  #isEnded = false;
  #timer;
  #plannedStop;

  constructor(record, folder, { name, ip, port, store }) {
    this.#record = record;
    this.name = name;
    this.front = { host: ip, port: port + 6 };
    this.#settings = join(folder, `${name}.toml`);
    writeFileSync(
      this.#settings,
      `NodeName = "${name}"
Role = "entry"
Ip = "${ip}"
Zone = "z1"
Region = "r1"
InternalPorts = [${port}, ${port + 5}]
[Listen]
Front = "${ip}:${port + 6}"
Ready = "${ip}:${port + 7}"
Directory = "${ip}:${port + 8}"
[Limits]
CpuShare = 0.513
MemoryMb = ${MEMORY_MB}
[Bounds]
GraceS = 8
StallMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryAllowance = 132
ttl_max_s = 5
CeilingWindowS = 5
[Provider]
Address = "${store}"
`,
    );
    this.#timer = setInterval(() => this.#checkMemory(), 50);
  }

  get pid() {
    return this.#child?.pid;
  }

  start() {
    const [program, ...args] = readCommand();
    this.starts++;
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", "ignore", "inherit"],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        ZINNIAHILL_SETTINGS: this.#settings,
      },
    });
    this.#child = child;
    child.on("exit", (code, signal) => {
      this.#record.add("node-ended", { node: this.name, code, signal });
      this.#child = undefined;
      this.#plannedStop?.();
      setTimeout(() => this.#isEnded || this.start(), RESTART_MS);
    });
  }

  signal(signal) {
    this.#child?.kill(signal);
  }

  end() {
    this.#isEnded = true;
    clearInterval(this.#timer);
    this.signal("SIGKILL");
  }

  /** The platform kills a process that exceeds its memory. */
  #checkMemory() {
    if (this.pid === undefined) {
      return;
    }
    let megabytes = 0;
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
      megabytes = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1024;
    } catch {
      return;
    }
    this.peakMb = Math.max(this.peakMb, megabytes);
    if (megabytes > MEMORY_MB) {
      this.kills.push(performance.now());
      this.#record.add("node-over-its-memory", {
        node: this.name,
        mb: megabytes.toFixed(0),
        limit: MEMORY_MB,
      });
      this.signal("SIGKILL");
    }
  }
}

/** A proxy before one runner, which passes bytes on until told otherwise. */
export class RunnerProxy {
  address = "";
  /** Takes a connection over by the bytes of a request; true if it does. */
  takeOver = () => false;
  #target;
  #server;
  #sockets = new Set();

  constructor(target) {
    this.#target = target;
    this.#server = createServer((near) => this.#accept(near));
  }

  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #accept(near) {
    const [host, port] = this.#target().split(":");
    const far = connect(Number(port), host);
    let isTaken = false;
    this.#track(near);
    this.#track(far);
    near.on("data", (chunk) => {
      if (!isTaken && this.takeOver(near, chunk)) {
        isTaken = true;
        far.destroy();
      } else if (!isTaken) {
        far.write(chunk);
      }
    });
    far.on("data", (chunk) => isTaken || near.write(chunk));
    near.on("close", () => far.destroy());
    far.on("close", () => isTaken || near.destroy());
  }

  #track(socket) {
    this.#sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#sockets.delete(socket));
  }
}

/** Reads requests with a length or without a body from one connection. */
export function readRequests(socket, onRequest) {
  let text = "";
  socket.on("data", (chunk) => {
    text += chunk.toString("latin1");
    for (let end = text.indexOf("\r\n\r\n"); end !== -1;) {
      const [first, ...lines] = text.slice(0, end).split("\r\n");
      const headers = new Map(lines.map((line) => {
        const [name, ...rest] = line.split(":");
        return [name.toLowerCase(), rest.join(":").trim()];
      }));
      const size = Number(headers.get("content-length") ?? 0);
      if (text.length < end + 4 + size) {
        return;
      }
      text = text.slice(end + 4 + size);
      const [method, path] = first.split(" ");
      onRequest({ method, path, headers });
      end = text.indexOf("\r\n\r\n");
    }
  });
  socket.on("error", () => socket.destroy());
}

/** A runner of the plain service that answers as `answer` says. */
export class PlainRunner {
  id = `i-${randomBytes(4).toString("hex")}`;
  #store;
  #entry;
  #beats = 0;
  #timer;
  #server;
  #sockets = new Set();

  constructor(answer) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      readRequests(socket, (received) => {
        if (received.headers.get("x-target-instance") !== this.id) {
          socket.write(
            "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" +
              "Content-Length: 0\r\n\r\n",
          );
        } else {
          answer(this, socket, received);
        }
      });
    });
  }

  async start(store) {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.#store = store;
    this.#entry = {
      Service: RECORDS,
      Address: `127.0.0.1:${this.#server.address().port}`,
      Zone: "z1",
      Version: "v1",
      Slots: 6,
      State: "ready",
      ColdLeftMs: 0,
      born: Date.now(),
    };
    this.#write();
    this.#timer = setInterval(() => this.#write(), HEARTBEAT_MS);
  }

  #write() {
    this.#beats++;
    const entry = { ...this.#entry, SeqNo: this.#beats };
    this.#store.put("keyed.servers", this.id, entry);
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }
}

/** Answers a request with success after some work. */
export function answerAfter(socket, attempt, workMs) {
  const body = `answer to ${attempt}`;
  setTimeout(() =>
    socket.write([
      "HTTP/1.1 200 OK",
      `X-Attempt-Id: ${attempt}`,
      `X-Response-Seal: 3e1b.${randomBytes(4).toString("hex")}`,
      "Connection: keep-alive",
      `Content-Length: ${body.length}`,
      "",
      body,
    ].join("\r\n")), workMs);
}

/** Answers a share of a runner's streams with bytes without end. */
export class EndlessAnswers {
  #record;
  #options;
  #sockets = new Set();
  #timer;

  /** `unit` is repeated, at `bytesPerS` for all of the answers together. */
  constructor(record, options) {
    this.#record = record;
    this.#options = options;
    this.#timer = setInterval(() => this.#fill(), FILL_MS);
  }

  /** To be set as `takeOver` of the proxy before the faulty runner. */
  takeOver = (near, chunk) => {
    const text = chunk.toString("latin1");
    const attempt = /x-attempt-id: (\w+)/i.exec(text)?.[1];
    const isStream = text.startsWith("POST /chat/");
    if (!isStream || Math.random() >= this.#options.share) {
      return false;
    }
    this.#record.add("run-endless", { attempt });
    near.write([
      "HTTP/1.1 200 OK",
      `X-Attempt-Id: ${attempt}`,
      "X-Response-Seal: 3e1b.07.5a2",
      "Content-Type: text/event-stream",
      "",
      "",
    ].join("\r\n"));
    this.#sockets.add(near);
    near.on("close", () => this.#sockets.delete(near));
    return true;
  };

  stop() {
    clearInterval(this.#timer);
  }

  /** Sends at the rate, and no more than is read. */
  #fill() {
    const { bytesPerS, unit } = this.#options;
    const count = Math.max(1, this.#sockets.size);
    const size = bytesPerS * FILL_MS / 1000 / count;
    const chunk = Buffer.alloc(
      Math.max(1, Math.floor(size / unit.length)) * unit.length,
      unit,
    );
    for (const socket of this.#sockets) {
      if (socket.writableLength < MAX_UNSENT_BYTES) {
        socket.write(chunk);
      }
    }
  }
}

function createManifest(deadlineMs) {
  const route = (Name, Kind, Service, TimeoutMs, MaxAttempts) => ({
    Name,
    Host: FLEET_HOST,
    PathPrefix: `/${Name}/`,
    Kind,
    Service,
    TimeoutMs,
    TargetLatencyMs: 400,
    Priority: 0,
    MaxAttempts,
    AllowAnonymous: false,
    Resumable: Kind === "stream",
    ...(Kind === "stream" ? { GapTargetMs: 300, Sticky: true } : {}),
  });
  return {
    Version: 100,
    Routes: [
      route("chat", "stream", "engines", deadlineMs, 2),
      route("stamp", "unsafe", RECORDS, PLAIN_TIMEOUT_MS, 1),
      route("look", "safe", RECORDS, PLAIN_TIMEOUT_MS, 2),
    ],
    Services: [
      {
        Name: "engines",
        MaxConns: 234,
        Engine: {
          Slots: 18,
          KvCapacityTokens: 1_710_000,
          Stride: 6,
          step_ms: 6.45,
          per_seq_ms: 0.1,
          context_per_k: 0.004,
          read_per_s: 56_100,
          pairs_per_m: 0.3,
          chunk: 2048,
          LoadsPerS: 50,
          loads_at_once: 8,
          FormMs: 10,
          Models: [{
            Name: FLEET_MODEL,
            size: 3,
            Share: 1,
            pace: 1,
            LoadS: 0.3,
            WarmS: 0.02,
          }],
        },
      },
      { Name: RECORDS, MaxConns: 49 },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 65_536,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: "north", ApiKeys: [FLEET_KEY], Priority: 1 }],
  };
}

/**
 * A store, engine runners in fabric domains, in groups of three, and the plain
 * service. Each engine runner has a proxy before it, and its entry is written
 * again with each heartbeat.
 */
export class Deployment {
  nodes = [];
  proxies = new Map();
  /** Time after which the store does a heartbeat that it has not answered. */
  drawLateMs = () => undefined;
  onLateWrite = () => {};
  #record;
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #plainRunners;
  #put;
  #entries = new Map();
  #timers = [];

  constructor(
    record,
    plainRunners,
    { domains = 2, runnersPerDomain = 4 } = {},
  ) {
    this.#record = record;
    this.#plainRunners = plainRunners;
    this.fleet = new Fleet({
      domains,
      runnersPerDomain,
      modelHosts: 3,
      loadMs: 300,
    });
  }

  async start(nodeCount, deadlineMs) {
    // Whoever ends the script early leaves no process behind.
    for (const signal of ["SIGTERM", "SIGINT"]) {
      process.once(signal, () => {
        this.stop();
        process.exit(2);
      });
    }
    const { fleet } = this;
    this.#put = fleet.store.put.bind(fleet.store);
    fleet.store.put = (topic, key, value) => this.#write(topic, key, value);
    await fleet.start();
    for (const runner of fleet.runners) {
      await this.#addProxy(runner);
    }
    for (const runner of this.#plainRunners) {
      await runner.start(fleet.store);
    }
    fleet.store.put("keyed.op", "config", createManifest(deadlineMs));
    const block = 20 + process.pid % 200;
    for (let index = 0; index < nodeCount; index++) {
      const ip = `127.0.${block}.${index + 1}`;
      const port = await findPort(ip);
      const place = { name: `node-${index}`, ip, port, store: fleet.address };
      const node = new Node(this.#record, this.#folder, place);
      node.start();
      this.nodes.push(node);
    }
  }

  /** Starts one more engine runner. */
  async addEngine(domain) {
    const runner = new FleetRunner({
      store: this.fleet.store,
      service: "engines",
      zone: "z1",
      loadMs: 300,
      domain,
    });
    await runner.start();
    this.fleet.runners.push(runner);
    await this.#addProxy(runner);
    return runner;
  }

  async #addProxy(runner) {
    const proxy = new RunnerProxy(() => runner.address);
    await proxy.start();
    this.proxies.set(runner.id, proxy);
    runner.register();
    this.#timers.push(setInterval(() => this.#beat(runner.id), HEARTBEAT_MS));
  }

  /** Writes a record; an engine runner's entry names its proxy's address. */
  #write(topic, key, value) {
    const proxy = this.proxies.get(key);
    if (value?.Domain !== undefined) {
      if (proxy !== undefined) {
        const SeqNo = (this.#entries.get(key)?.SeqNo ?? 0) + 1;
        const entry = { ...value, Address: proxy.address, SeqNo };
        this.#entries.set(key, entry);
        this.#put(topic, key, entry);
      }
      return;
    }
    this.#entries.delete(key);
    if (value?.Service !== RECORDS || this.#isOwn(key)) {
      this.#put(topic, key, value);
    }
  }

  #beat(id) {
    const before = this.#entries.get(id);
    if (before === undefined) {
      return;
    }
    const entry = structuredClone({ ...before, SeqNo: before.SeqNo + 1 });
    this.#entries.set(id, entry);
    const lateMs = this.drawLateMs();
    if (lateMs === undefined) {
      this.#put("keyed.servers", id, entry);
    } else {
      setTimeout(() => {
        this.onLateWrite(id, entry);
        this.#put("keyed.servers", id, entry);
        setTimeout(() => this.#expire(id), EXPIRY_BEATS * HEARTBEAT_MS);
      }, lateMs);
    }
  }

  /** The store removes the entry of a runner that has left and is silent. */
  #expire(id) {
    if (!this.#entries.has(id)) {
      this.#put("keyed.servers", id, undefined);
    }
  }

  /** Waits until every node answers each kind of request. */
  async waitUntilServed(callers) {
    const until = performance.now() + 20_000;
    for (const { front } of this.nodes) {
      for (const kind of ["chat", "look", "stamp"]) {
        while ((await callers.call(front, kind)).status !== 200) {
          if (performance.now() > until) {
            throw new Error(`${front.host} does not answer ${kind}`);
          }
          await sleep(50);
        }
      }
    }
  }

  /** Leads of open groups, by the runners' own state. */
  listLeads() {
    return this.fleet.listLeads();
  }

  stop() {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.nodes.forEach((node) => node.end());
    this.proxies.forEach((proxy) => proxy.stop());
    this.#plainRunners.forEach((runner) => runner.stop());
    this.fleet.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #isOwn(key) {
    return this.#plainRunners.some(({ id }) => id === key);
  }
}

/** The first of ten free ports; nothing else of this test uses the address. */
async function findPort(ip) {
  for (let port = 10_000; port < 20_000; port += 10) {
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port + 6, ip, () => server.close(() => resolve(true)));
    });
    if (isFree) {
      return port;
    }
  }
  throw new Error("no free port");
}

/** Callers that keep their channels. */
export class Callers {
  answers = [];
  /** Bytes that a caller of a stream reads in a second, if it is limited. */
  streamBytesPerS = Infinity;
  #agent = new Agent({ keepAlive: true, maxSockets: 512 });
  #record;
  #deadlinesMs;

  constructor(record, deadlinesMs) {
    this.#record = record;
    this.#deadlinesMs = deadlinesMs;
  }

  call({ host, port }, kind) {
    const attempt = randomBytes(8).toString("hex");
    const deadlineMs = this.#deadlinesMs[kind];
    const answer = { attempt, kind, status: 0, body: "", bytes: 0, node: host };
    answer.sentAt = performance.now();
    this.answers.push(answer);
    return new Promise((resolve) => {
      const finish = (outcome) => {
        if (answer.outcome !== undefined) {
          return;
        }
        clearTimeout(timer);
        answer.outcome = outcome;
        answer.endedAt = performance.now();
        this.#record.add("call", {
          attempt,
          kind,
          node: host,
          kept: answer.isKept,
          status: answer.status,
          outcome,
          bytes: answer.bytes,
          ms: (answer.endedAt - answer.sentAt).toFixed(0),
        });
        resolve(answer);
      };
      const outgoing = request({
        host,
        port,
        method: "POST",
        path: `/${kind}/1`,
        agent: this.#agent,
        headers: {
          host: FLEET_HOST,
          "x-attempt-id": attempt,
          "x-deadline-ms": String(deadlineMs),
          authorization: `Bearer ${FLEET_KEY}`,
          "content-length": 2,
          ...(kind === "chat"
            ? {
              "x-model": FLEET_MODEL,
              "x-token-count": "714,180",
              "x-prompt-prefix": `5c1e07a2:40,${attempt}:674`,
            }
            : {}),
        },
      }, (incoming) => {
        answer.status = incoming.statusCode;
        answer.rawHeaders = incoming.rawHeaders;
        incoming.on("data", (chunk) => {
          answer.bytes += chunk.length;
          if (answer.body.length < 4096) {
            answer.body += chunk.toString("latin1");
          }
          if (kind === "chat" && Number.isFinite(this.streamBytesPerS)) {
            incoming.pause();
            const ms = chunk.length / this.streamBytesPerS * 1000;
            setTimeout(() => incoming.resume(), ms);
          }
        });
        incoming.on("error", () => finish("broken"));
        incoming.on(
          "close",
          () => finish(incoming.complete ? "whole" : "broken"),
        );
      });
      const timer = setTimeout(() => {
        finish("given-up");
        outgoing.destroy();
      }, deadlineMs + 500);
      outgoing.on("socket", () => {
        answer.isKept = outgoing.reusedSocket;
      });
      outgoing.on(
        "error",
        () => finish(answer.status === 0 ? "closed" : "broken"),
      );
      outgoing.end("{}");
    });
  }

  stop() {
    this.#agent.destroy();
  }
}
