/**
 * `npm run demo -- --platform`: two nodes of the users' platform over
 * stand-ins of a small fleet; serves requests of each kind, silences a member
 * of a group while streams run, and prints what came of it.
 *
 * @module
 */
import { LineLogger, SystemClock } from "@zinniahill/kernel";
import {
  parsePlatformSettings,
  type StartedNode,
  startPlatformNode,
} from "@zinniahill/platform";
import {
  createNodeSettings,
  Fleet,
  FLEET_HOST,
  FLEET_KEY,
  FLEET_MODEL,
} from "@zinniahill/stand-ins";
import { request } from "undici";

const KINDS = ["chat", "stamp", "look"] as const;
type Kind = typeof KINDS[number];

const FIRST_PORT = 11_000;
const PORTS_PER_NODE = 10;
const REQUESTS_PER_KIND = 20;
const WAIT_LIMIT_MS = 20_000;
const POLL_MS = 50;

const clock = new SystemClock();

/** Runs the demo; the result is whether every answer was whole. */
export async function runPlatformDemo(): Promise<boolean> {
  const fleet = new Fleet({
    domains: 2,
    runnersPerDomain: 4,
    modelHosts: 3,
    loadMs: 300,
  });
  await fleet.start();
  const nodes = [await startNode(fleet, 0), await startNode(fleet, 1)];
  try {
    await waitUntil(() => fleet.listLeads().length === 2);
    await waitUntil(() => nodes.every(knowsGroups));
    console.log(`groups open: ${fleet.listLeads().length}`);
    const before = await serve(nodes, "all members present");
    silenceMember(fleet);
    const during = await serve(nodes, "a member silent");
    await waitUntil(() => fleet.listLeads().length === 2);
    const orders = fleet.runners.reduce(
      (sum, runner) => sum + runner.orders.length,
      0,
    );
    console.log(`groups open again: 2, orders given: ${orders}`);
    return before && during;
  } finally {
    await Promise.all(nodes.map((node) => node.stopImmediately()));
    fleet.stop();
  }
}

function startNode(fleet: Fleet, index: number): Promise<StartedNode> {
  const text = createNodeSettings({
    name: `node-${index}`,
    ip: `127.0.0.${index + 1}`,
    port: FIRST_PORT + index * PORTS_PER_NODE,
    store: fleet.address,
  });
  const settings = parsePlatformSettings("settings.toml", text)
    .unwrapOrElse((faults) => {
      throw new Error(faults.join("; "));
    });
  const logger = new LineLogger({ level: "silent", fields: {} });
  return startPlatformNode(settings, logger);
}

function knowsGroups({ node }: StartedNode): boolean {
  return node.find("lifecycle").isServing &&
    node.find("groups").list().filter(({ state }) => state === "open")
        .length === 2;
}

/** A member of the first group, and with it the group, stops moving. */
function silenceMember(fleet: Fleet): void {
  const [lead] = fleet.listLeads();
  const member = fleet.runners.find(({ membership }) =>
    membership?.Name === lead?.membership?.Name && membership?.rank === 1
  );
  if (lead !== undefined && member !== undefined) {
    lead.isStalled = true;
    member.isSilent = true;
  }
}

async function serve(
  nodes: readonly StartedNode[],
  when: string,
): Promise<boolean> {
  let areAllWhole = true;
  for (const kind of KINDS) {
    const began = clock.now();
    const answers = await Promise.all(
      Array.from(
        { length: REQUESTS_PER_KIND },
        (_, index) => send(nodes[index % nodes.length]!, kind, index),
      ),
    );
    const whole = answers.filter(Boolean).length;
    areAllWhole &&= whole === REQUESTS_PER_KIND;
    console.log(
      `${kind}, ${when}: ${whole} of ${REQUESTS_PER_KIND} whole, ` +
        `${Math.round(clock.now() - began)} ms`,
    );
  }
  return areAllWhole;
}

/** Sends one request; whether its answer was whole. */
async function send(
  { node }: StartedNode,
  kind: Kind,
  index: number,
): Promise<boolean> {
  const address = node.find("settings").node.publicAddress;
  const reply = await request(`http://${address}/${kind}/${index}`, {
    method: "POST",
    headers: {
      host: FLEET_HOST,
      "x-attempt-id": node.find("random").id(),
      "x-deadline-ms": "4000",
      "x-model": FLEET_MODEL,
      "x-token-count": "100,36",
      authorization: `Bearer ${FLEET_KEY}`,
    },
    body: "{}",
  });
  const text = await reply.body.text();
  return reply.statusCode === 200 &&
    (kind !== "chat" || text.includes("data: piece 6"));
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  const until = clock.now() + WAIT_LIMIT_MS;
  while (!isMet()) {
    if (clock.now() > until) {
      throw new Error("the fleet did not become ready in time");
    }
    await clock.sleep(POLL_MS);
  }
}
