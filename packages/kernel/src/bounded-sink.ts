/**
 * A writable stream to a file descriptor that never blocks the process.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { fstatSync, write } from "node:fs";
import { Socket } from "node:net";
import { Writable } from "node:stream";

/** Lines over this buffer size are dropped while the reader stalls. */
const MAX_PENDING_BYTES = 512 * 1024;
const RETRY_MS = 50;
const TEXT_ENCODING = "utf8";

/** Called with the number of bytes that were written. */
type WriteCallback = (
  failure: NodeJS.ErrnoException | null,
  written: number,
) => void;

/** Writes bytes in the background. */
type Writer = (bytes: Buffer, onDone: WriteCallback) => void;

/** Kinds of descriptors, which are written in different ways. */
type DescriptorKind = "pipe" | "file";

const WRITERS: Readonly<
  Record<DescriptorKind, (descriptor: number) => Writer>
> = {
  // Needs no thread of the pool, which costs more than the write.
  pipe: (descriptor) => {
    const socket = new Socket({ fd: descriptor, readable: false });
    // Each write reports its failure itself.
    socket.on("error", () => {});
    socket.unref();
    return (bytes, onDone) => {
      socket.write(bytes, (failure) => {
        onDone(failure ?? null, bytes.length);
      });
    };
  },
  file: (descriptor) => (bytes, onDone) => write(descriptor, bytes, onDone),
};

function findKind(descriptor: number): DescriptorKind {
  const status = fstatSync(descriptor);
  return status.isFIFO() || status.isSocket() ? "pipe" : "file";
}

/**
 * Writes lines to a file descriptor in the background, one write at a time.
 * Lines that would exceed the buffer limit are dropped and counted.
 */
export class BoundedSink extends Writable {
  #write: Writer;
  #maxBytes: number;
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #droppedLines = 0;
  /** Called once nothing is pending. */
  #onIdle: () => void = () => {};

  constructor(descriptor: number, maxBytes: number = MAX_PENDING_BYTES) {
    super({ decodeStrings: false });
    this.#write = WRITERS[findKind(descriptor)](descriptor);
    this.#maxBytes = maxBytes;
  }

  /** The number of lines dropped so far. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Waits until all lines are written, or until the limit. */
  async flush(limitMs: number): Promise<void> {
    if (!this.#isWriting) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      this.#onIdle = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  override _write(
    line: string,
    _encoding: string,
    onDone: (failure?: Error | null) => void,
  ): void {
    const bytes = Buffer.from(line, TEXT_ENCODING);
    if (this.#pendingBytes + bytes.length > this.#maxBytes) {
      this.#droppedLines++;
    } else {
      this.#pending.push(bytes);
      this.#pendingBytes += bytes.length;
      this.#flush();
    }
    onDone();
  }

  #flush(): void {
    if (this.#isWriting) {
      return;
    }
    if (this.#pending.length === 0) {
      this.#onIdle();
      return;
    }
    this.#isWriting = true;
    const bytes = Buffer.concat(this.#pending.splice(0));
    this.#writeAll(bytes);
  }

  #writeAll(bytes: Buffer): void {
    this.#write(bytes, (failure, written) => {
      if (failure !== null) {
        this.#onFailure(failure, bytes);
        return;
      }
      this.#pendingBytes -= written;
      if (written < bytes.length) {
        this.#writeAll(bytes.subarray(written));
        return;
      }
      this.#isWriting = false;
      this.#flush();
    });
  }

  /** Retries when the pipe is full; drops the bytes when it is closed. */
  #onFailure(failure: NodeJS.ErrnoException, bytes: Buffer): void {
    if (failure.code === "EAGAIN") {
      setTimeout(() => this.#writeAll(bytes), RETRY_MS).unref();
      return;
    }
    this.#droppedLines++;
    this.#pendingBytes -= bytes.length;
    this.#isWriting = false;
    this.#flush();
  }
}
