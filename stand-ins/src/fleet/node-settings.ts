/**
 * Settings files of nodes in front of a fleet, on addresses of loopback.
 *
 * @module
 */

/** Where one node listens. */
export interface NodePlace {
  readonly name: string;
  readonly ip: string;
  /** The first of ten ports that the node may use. */
  readonly port: number;
  readonly store: string;
  /** The data centre; `z1` if absent. */
  readonly zone?: string;
  readonly memoryMb?: number;
  readonly maxFds?: number;
}

const DEFAULT_MEMORY_MB = 500;

/** Writes a settings file in the platform's format. */
export function createNodeSettings(
  {
    name,
    ip,
    port,
    store,
    zone = "z1",
    memoryMb = DEFAULT_MEMORY_MB,
    maxFds,
  }: NodePlace,
): string {
  return `
NodeName = "${name}"
Ip = "${ip}"
Zone = "${zone}"
Region = "r1"
InternalPorts = [${port}, ${port + 5}]
[Listen]
Front = "${ip}:${port + 6}"
Ready = "${ip}:${port + 7}"
Directory = "${ip}:${port + 8}"
[Limits]
MemoryMb = ${memoryMb}
${maxFds === undefined ? "" : `MaxFds = ${maxFds}`}
[Bounds]
GraceS = 6
StallMs = 5000
RetryBudgetRatio = 0.2
RetryAllowance = 100
[Provider]
Address = "${store}"
`;
}
