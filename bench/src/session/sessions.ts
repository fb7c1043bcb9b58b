/**
 * Whole sessions in memory, each told by its transcript.
 *
 * @module
 */
import { requestCall, requestStream } from "../matrix/callers.ts";
import { drainHost, publish, publishRace } from "../matrix/operators.ts";
import { findServingHost } from "../matrix/steps.ts";
import { World } from "../matrix/world.ts";
import { Transcript } from "./transcript.ts";

const SEED = 1;
const PUBLISH_AT_MS = 500;
const SERVE_AT_MS = 4000;
const CHANGE_AT_MS = 6000;
const END_MS = 20_000;
const TOKENS = 8;
const STOPPED_NODE = "node-3";

/** What happens while the system serves. */
type Change = (world: World) => Promise<void>;

/** Sessions by name: publish, form and serve, then a change, then serve. */
export const SESSIONS = {
  "publish-form-serve-drain-stop": async (world) => {
    await drainHost(world, findServingHost(world));
    await world.clock.sleep(PUBLISH_AT_MS);
    await world.node(STOPPED_NODE).stopAsPlanned();
  },
  "lose-a-host-and-replace-it": async (world) => {
    world.loseHost(findServingHost(world));
    await Promise.resolve();
  },
  "two-operators-edit-at-once": publishRace,
} as const satisfies Record<string, Change>;

/** The name of a session. */
export type SessionName = keyof typeof SESSIONS;

/** Runs a session and returns its transcript. */
export async function recordSession(name: SessionName): Promise<string> {
  const transcript = new Transcript();
  const world = new World(SEED, {});
  world.onEvent = (event) => transcript.note(event);
  await world.start();
  world.run(runSession(world, SESSIONS[name]));
  await world.runUntil(END_MS);
  await world.stop();
  transcript.noteAnswers(world);
  return transcript.toString();
}

async function runSession(world: World, change: Change): Promise<void> {
  const { clock } = world;
  await clock.sleep(PUBLISH_AT_MS);
  await publish(world, ["north"]);
  await clock.sleep(SERVE_AT_MS - clock.now());
  await serve(world, "before");
  await clock.sleep(CHANGE_AT_MS - clock.now());
  const changed = change(world);
  await serve(world, "during");
  await changed;
  await serve(world, "after");
}

async function serve(world: World, when: string): Promise<void> {
  await Promise.all([
    requestStream(world, `question ${when}`, "urgent", TOKENS),
    requestCall(world, `key-${when}`, 0),
  ]);
}
