/**
 * The clients of one process in memory: they stop with it and pause with it.
 *
 * @module
 */
import type { PeerConnection, PeerTransport } from "@zinniahill/node";
import type { Engines, EngineStream } from "@zinniahill/clients";
import type { MemoryClients } from "@zinniahill/stand-ins";
import { Result } from "true-myth";
import type { PausableClock } from "./pausable-clock.ts";

/** Makes every client of a process pause and end with its clock. */
export function bindClients(
  clients: MemoryClients,
  clock: PausableClock,
): MemoryClients {
  const { log, hostList, weightStore, plainServices } = clients;
  const begin = createBegin(clock);
  return {
    log: {
      append: (...call) => begin(() => log.append(...call)),
      read: (...call) => begin(() => log.read(...call)),
    },
    hostList: { list: (...call) => begin(() => hostList.list(...call)) },
    weightStore: {
      requestGrant: (...call) => begin(() => weightStore.requestGrant(...call)),
    },
    engines: bindEngines(clients.engines, clock),
    plainServices: {
      call: (...call) => begin(() => plainServices.call(...call)),
    },
  };
}

/** Makes the connections of a process pause and end with its clock. */
export function bindTransport(
  transport: PeerTransport,
  clock: PausableClock,
): PeerTransport {
  const begin = createBegin(clock);
  return {
    listen: (address, onConnection) =>
      transport.listen(
        address,
        (connection) =>
          clock.run(() => onConnection(bindConnection(connection, clock))),
      ),
    connect: async (address, signal) => {
      const connection = await begin(() => transport.connect(address, signal));
      return bindConnection(connection, clock);
    },
    stop: () => transport.stop?.(),
  };
}

type Begin = <Value>(call: () => Promise<Value>) => Promise<Value>;

function createBegin(clock: PausableClock): Begin {
  return (call) => clock.isEnded ? new Promise(() => {}) : clock.hold(call());
}

function bindEngines(engines: Engines, clock: PausableClock): Engines {
  const begin = createBegin(clock);
  return {
    probe: (...call) => begin(() => engines.probe(...call)),
    sendOrder: (...call) => begin(() => engines.sendOrder(...call)),
    cancel: (...call) => begin(() => engines.cancel(...call)),
    readCacheEvents: (...call) => begin(() => engines.readCacheEvents(...call)),
    generate: async (...call) => {
      const stream = await begin(() => engines.generate(...call));
      return stream.isOk
        ? Result.ok(bindStream(stream.value, clock))
        : Result.err(stream.error);
    },
  };
}

function bindStream(stream: EngineStream, clock: PausableClock): EngineStream {
  return {
    requestId: stream.requestId,
    chunks: holdChunks(stream.chunks, clock),
    close: () => {
      if (!clock.isEnded) {
        stream.close();
      }
    },
  };
}

async function* holdChunks(
  chunks: AsyncIterable<Uint8Array>,
  clock: PausableClock,
): AsyncGenerator<Uint8Array> {
  const iterator = chunks[Symbol.asyncIterator]();
  for (;;) {
    const chunk = await clock.hold(iterator.next());
    if (chunk.done) {
      return;
    }
    yield chunk.value;
  }
}

function bindConnection(
  connection: PeerConnection,
  clock: PausableClock,
): PeerConnection {
  return {
    get queuedBytes() {
      return connection.queuedBytes;
    },
    send: (message) => {
      if (!clock.isEnded) {
        connection.send(message);
      }
    },
    receive: (signal) => clock.hold(connection.receive(signal)),
    close: () => {
      if (!clock.isEnded) {
        connection.close();
      }
    },
  };
}
