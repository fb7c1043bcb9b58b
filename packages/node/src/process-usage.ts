/**
 * What this process uses, for the state dump.
 *
 * @module
 */
import process from "node:process";
import type { Service } from "@zinniahill/kernel";

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Reports processor time and memory of the whole process. */
export class ProcessUsage implements Service {
  dump(): unknown {
    const { user, system } = process.cpuUsage();
    const memory = process.memoryUsage();
    return {
      pid: process.pid,
      uptimeMs: Math.round(process.uptime() * MS_PER_SECOND),
      cpuMs: (user + system) / MICROSECONDS_PER_MS,
      rssBytes: memory.rss,
      heapUsedBytes: memory.heapUsed,
      externalBytes: memory.external,
    };
  }
}
