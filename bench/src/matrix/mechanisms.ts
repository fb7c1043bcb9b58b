/**
 * Mechanisms that can be taken away, to show that the matrix can fail.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type {
  Engines,
  EngineStream,
  Log,
  LogStream,
} from "@zinniahill/clients";
import type { EngineStatus, LogEntry } from "@zinniahill/schema";
import type { MemoryClients } from "@zinniahill/stand-ins";
import { Result } from "true-myth";
import { type LogRecord, parseRecord } from "./log-records.ts";

/** What takes the place of a mechanism. */
export interface Mechanism {
  /** Replaces services of a node by name. */
  readonly replaceClients?: (
    clients: MemoryClients,
    node: string,
  ) => MemoryClients;
  /** Replaces options of every engine. */
  readonly engines?: { readonly checksFence: boolean };
  /** Whether a planned stop waits for nothing. */
  readonly stopsAtOnce?: boolean;
}

type RecordFilter = (record: LogRecord) => boolean;

/** What is put in the place of each mechanism. */
export const MECHANISMS = {
  "nothing": {},
  /**
   * Probes of a host that is gone give its last status, and every lead reports
   * that it has just heard all members: either source alone shows the loss.
   */
  "evidence": {
    replaceClients: (clients) => ({
      ...clients,
      engines: createTrustingEngines(clients.engines),
    }),
  },
  /** A node reads only what it has appended itself. */
  "agreement": {
    replaceClients: (clients) => ({
      ...clients,
      log: createPrivateLog(clients.log),
    }),
  },
  /** A node reads no other node's intents. */
  "intent": {
    replaceClients: (clients, node) => ({
      ...clients,
      log: createFilteredLog(
        clients.log,
        (record) => record.kind !== "intent" || record.node === node,
      ),
    }),
  },
  /** An answer that broke off is not continued. */
  "resume": {
    replaceClients: (clients) => ({
      ...clients,
      engines: createUnresumedEngines(clients.engines),
    }),
  },
  /** Events carry a number that hides repetitions. */
  "token-index": {
    replaceClients: (clients) => ({
      ...clients,
      engines: createRenumberedEngines(clients.engines),
    }),
  },
  /** Every call without a reply counts as one that was not run. */
  "verdict": {
    replaceClients: (clients) => ({
      ...clients,
      plainServices: {
        call: async (...call) => {
          const reply = await clients.plainServices.call(...call);
          return reply.mapErr((fault) => ({ ...fault, verdict: "not-run" }));
        },
      },
    }),
  },
  /** Engines carry out orders with an old fencing number. */
  "fencing": { engines: { checksFence: false } },
  /** Nodes do not learn which hosts leave, but for drains they were told of. */
  "drain": {
    replaceClients: (clients, node) => ({
      ...clients,
      hostList: {
        list: async (signal) => {
          const hosts = await clients.hostList.list(signal);
          return hosts.map((all) =>
            all.map((host) => ({ ...host, state: "live" as const }))
          );
        },
      },
      log: createFilteredLog(
        clients.log,
        (record) => record.kind !== "host-drained" || record.node === node,
      ),
    }),
  },
  /** A planned stop waits for no caller. */
  "planned-stop": { stopsAtOnce: true },
  /** Nodes do not read configurations that another node has published. */
  "configuration": {
    replaceClients: (clients, node) => ({
      ...clients,
      log: createFilteredLog(
        clients.log,
        (record) => record.kind !== "configuration" || record.node === node,
      ),
    }),
  },
} as const satisfies Record<string, Mechanism>;

/** The name of a mechanism that can be taken away. */
export type MechanismName = keyof typeof MECHANISMS;

function createTrustingEngines(engines: Engines): Engines {
  const known = new Map<string, EngineStatus>();
  return {
    ...engines,
    probe: async (address, ...rest) => {
      const status = await engines.probe(address, ...rest);
      if (status.isOk && status.value.group !== "") {
        known.set(address, status.value);
      }
      const last = known.get(address);
      const trusted = status.isErr && last !== undefined
        ? Result.ok(last)
        : status;
      return trusted.map(refreshMembers);
    },
  };
}

function refreshMembers(status: EngineStatus): EngineStatus {
  const members = Object.keys(status.members).map((host) => [host, 0]);
  return { ...status, members: Object.fromEntries(members) };
}

function createPrivateLog(log: Log): Log {
  const own: Record<LogStream, LogEntry[]> = { control: [], calls: [] };
  return {
    append: async (stream, records, signal) => {
      const appended = await log.append(stream, records, signal);
      if (appended.isOk) {
        own[stream].push({ offset: appended.value, records: [...records] });
      }
      return appended;
    },
    read: async (stream, range, signal) => {
      const listOwn = () =>
        own[stream].filter(({ offset }) => offset >= range.from);
      // Waits for the next append of any node when there is nothing to read.
      const from = listOwn().length > 0 ? range.from : Number.MAX_SAFE_INTEGER;
      const page = await log.read(stream, { ...range, from }, signal);
      return page.map((value) => ({
        ...value,
        first: 1,
        entries: listOwn(),
      }));
    },
  };
}

function createFilteredLog(log: Log, isKept: RecordFilter): Log {
  const isRead = (candidate: unknown) => {
    const record = parseRecord(candidate);
    return record === undefined || isKept(record);
  };
  return {
    append: (...call) => log.append(...call),
    read: async (...call) => {
      const page = await log.read(...call);
      return page.map((value) => ({
        ...value,
        entries: value.entries.map(({ offset, records }) => ({
          offset,
          records: records.filter(isRead),
        })),
      }));
    },
  };
}

function createUnresumedEngines(engines: Engines): Engines {
  return {
    ...engines,
    generate: (address, body, options) =>
      body.offset === 0
        ? engines.generate(address, body, options)
        : Promise.resolve(
          Result.err({ verdict: "not-run", message: "not resumed" }),
        ),
  };
}

function createRenumberedEngines(engines: Engines): Engines {
  return {
    ...engines,
    generate: async (address, body, options) => {
      const stream = await engines.generate(address, body, options);
      return stream.map((value) => renumber(value, body.offset));
    },
  };
}

function renumber(stream: EngineStream, first: number): EngineStream {
  async function* read(): AsyncGenerator<Uint8Array> {
    let next = first;
    for await (const chunk of stream.chunks) {
      const text = Buffer.from(chunk).toString();
      yield Buffer.from(text.replace(/^id: \d+/, () => `id: ${next++}`));
    }
  }
  return {
    requestId: stream.requestId,
    chunks: read(),
    close: () => stream.close(),
  };
}
