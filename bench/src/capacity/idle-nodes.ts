/**
 * What control costs a node that serves nothing: processor time and bytes.
 *
 * @module
 */
import {
  type Deployment,
  readDump,
  type ReportedDump,
  startDeployment,
  stopDeployment,
  waitForGroups,
} from "../deployment.ts";
import { writeFigure } from "../report.ts";
import { fitLine, type Point } from "./slope.ts";

const SEED = 0;
const SETTLE_MS = 6_000;
const WINDOW_MS = 12_000;
const MS_PER_SECOND = 1000;
const HOSTS_PER_GROUP = 4;
const CONTROL_CHANNELS = [
  "log",
  "host-list",
  "weight-store",
  "probes",
  "peers",
] as const;

/** Cost of one node over the window, in units a second. */
interface NodeCost {
  readonly holdsLease: boolean;
  readonly cpuMs: number;
  readonly heapBytes: number;
  readonly rssBytes: number;
  readonly channels: Readonly<Record<string, number>>;
}

/** One series: the sizes measured and the deployment at each. */
interface Series {
  readonly name: string;
  readonly sizes: readonly number[];
  readonly createSize: (size: number) => { nodes: number; groups: number };
}

const SERIES: readonly Series[] = [
  {
    name: "node",
    sizes: [2, 6, 12],
    createSize: (nodes) => ({ nodes, groups: 2 }),
  },
  {
    name: "group",
    sizes: [2, 6, 12],
    createSize: (groups) => ({ nodes: 4, groups }),
  },
];

/** Measures idle nodes at growing numbers of nodes and of groups. */
export async function measureIdleNodes(
  names: readonly string[] = SERIES.map(({ name }) => name),
): Promise<void> {
  for (const series of SERIES.filter(({ name }) => names.includes(name))) {
    const measured: { size: number; costs: NodeCost[] }[] = [];
    for (const size of series.sizes) {
      const { nodes, groups } = series.createSize(size);
      const costs = await measureDeployment(nodes, groups);
      measured.push({ size, costs });
      writeSize(series.name, size, costs);
    }
    writeSlopes(series.name, measured);
  }
}

async function measureDeployment(
  nodes: number,
  groups: number,
): Promise<NodeCost[]> {
  const deployment = await startDeployment({
    nodes,
    hosts: groups * HOSTS_PER_GROUP,
    fabricDomains: groups,
    dataCentres: 1,
    hostsPerGroup: HOSTS_PER_GROUP,
    replicas: groups,
  });
  await waitForGroups(deployment, Math.min(groups, 1));
  await sleep(SETTLE_MS);
  const before = await readDumps(deployment);
  await sleep(WINDOW_MS);
  const after = await readDumps(deployment);
  const costs = after.map((dump, index) => subtract(before[index]!, dump));
  await stopDeployment(deployment);
  return costs;
}

function readDumps(deployment: Deployment): Promise<ReportedDump[]> {
  return Promise.all(
    deployment.nodes.map(({ adminAddress }) =>
      readDump(deployment, adminAddress)
    ),
  );
}

function subtract(before: ReportedDump, after: ReportedDump): NodeCost {
  const seconds = (after.processUsage.uptimeMs - before.processUsage.uptimeMs) /
    MS_PER_SECOND;
  const channels = CONTROL_CHANNELS.map((channel) => {
    const bytes = sumBytes(after, channel) - sumBytes(before, channel);
    return [channel, bytes / seconds] as const;
  });
  return {
    holdsLease: after.leases.held.length > 0,
    cpuMs: (after.processUsage.cpuMs - before.processUsage.cpuMs) / seconds,
    heapBytes: after.processUsage.heapUsedBytes,
    rssBytes: after.processUsage.rssBytes,
    channels: Object.fromEntries(channels),
  };
}

function sumBytes(dump: ReportedDump, channel: string): number {
  const count = dump.traffic[channel];
  return count === undefined ? 0 : count.sentBytes + count.receivedBytes;
}

function writeSize(
  series: string,
  size: number,
  costs: readonly NodeCost[],
): void {
  for (const [role, chosen] of splitRoles(costs)) {
    const place = `${role} at ${size} ${series}s`;
    const write = (name: string, value: number, unit: string) =>
      writeFigure({ name, value, unit: `${unit}, ${place}`, seed: SEED });
    write("control_cpu", average(chosen, ({ cpuMs }) => cpuMs), "ms/s");
    write("control_bytes", average(chosen, sumChannels), "bytes/s");
    for (const channel of CONTROL_CHANNELS) {
      const value = average(chosen, ({ channels }) => channels[channel] ?? 0);
      write(`control_bytes_${channel}`, value, "bytes/s");
    }
    write("heap_used", average(chosen, ({ heapBytes }) => heapBytes), "bytes");
    write("rss", average(chosen, ({ rssBytes }) => rssBytes), "bytes");
  }
}

function writeSlopes(
  series: string,
  measured: readonly { size: number; costs: readonly NodeCost[] }[],
): void {
  const fit = (
    name: string,
    unit: string,
    read: (cost: NodeCost) => number,
  ) => {
    const points = measured.map(({ size, costs }): Point => ({
      size,
      value: average(costs.filter(({ holdsLease }) => !holdsLease), read),
    }));
    const { base, perUnit } = fitLine(points);
    writeFigure({
      name: `${name}_per_${series}`,
      value: perUnit,
      unit: `${unit} a ${series}, from ${base.toPrecision(4)}`,
      seed: SEED,
    });
  };
  fit("control_cpu", "ms/s", ({ cpuMs }) => cpuMs);
  fit("control_bytes", "bytes/s", sumChannels);
  fit("rss", "bytes", ({ rssBytes }) => rssBytes);
}

function splitRoles(
  costs: readonly NodeCost[],
): [string, readonly NodeCost[]][] {
  const roles: [string, readonly NodeCost[]][] = [
    ["lease holder", costs.filter(({ holdsLease }) => holdsLease)],
    ["other node", costs.filter(({ holdsLease }) => !holdsLease)],
  ];
  return roles.filter(([, chosen]) => chosen.length > 0);
}

function sumChannels({ channels }: NodeCost): number {
  return Object.values(channels).reduce((sum, value) => sum + value, 0);
}

function average(
  costs: readonly NodeCost[],
  read: (cost: NodeCost) => number,
): number {
  return costs.reduce((sum, cost) => sum + read(cost), 0) / costs.length;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
