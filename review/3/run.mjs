/**
 * A faulty runner sends bytes without end in the body of a stream.
 *
 * @module
 */
import process from "node:process";
import {
  answerAfter,
  Callers,
  Deployment,
  EndlessAnswers,
  HAS_TROUBLE,
  MEMORY_MB,
  PlainRunner,
  Record,
  sleep,
} from "../harness.mjs";

/** As garbled answers in the site file: 0.03 of a runner's answers. */
const ENDLESS_SHARE = 0.03;
/** Below the link of a machine, 1,500 Mbit/s, for all of them together. */
const RUNNER_BYTES_PER_S = 120e6;
/** A caller behind a line of 100 Mbit/s. */
const CALLER_BYTES_PER_S = 12.5e6;
const DEADLINE_MS = 8000;
const WORK_MS = 71;
const STREAMS_PER_S = 20;
const PLAIN_PER_S = 80;
const LOAD_MS = 60_000;
/** What "more than three times" of the rule allows. */
const ALLOWED = 3;

const record = new Record(import.meta.url);
/** Attempts that reached a sound runner. */
const passedOn = new Set();

function answerPlain(_runner, socket, { headers }) {
  const attempt = headers.get("x-attempt-id");
  passedOn.add(attempt);
  record.add("run", { attempt });
  answerAfter(socket, attempt, WORK_MS);
}

const runners = Array.from(
  { length: 3 },
  () => new PlainRunner(answerPlain),
);
const endless = new EndlessAnswers(record, {
  share: ENDLESS_SHARE,
  bytesPerS: RUNNER_BYTES_PER_S,
  unit: "x".repeat(1022) + "\n\n",
});
const deployment = new Deployment(record, runners);
const callers = new Callers(record, {
  chat: DEADLINE_MS,
  stamp: 1500,
  look: 1500,
});
callers.streamBytesPerS = CALLER_BYTES_PER_S;
let code = 2;
try {
  await deployment.start(2, DEADLINE_MS);
  await deployment.waitUntilServed(callers);
  callers.answers.length = 0;
  if (HAS_TROUBLE) {
    const [lead] = deployment.listLeads();
    deployment.proxies.get(lead.id).takeOver = endless.takeOver;
    record.add("disruption", { runner: lead.id });
  }
  const until = performance.now() + LOAD_MS;
  const calls = [];
  let index = 0;
  const send = async (kind, perS) => {
    while (performance.now() < until) {
      const { front } = deployment.nodes[index++ % 2];
      calls.push(callers.call(front, kind));
      await sleep(1000 / perS);
    }
  };
  await Promise.all([
    send("chat", STREAMS_PER_S),
    send("stamp", PLAIN_PER_S / 2),
    send("look", PLAIN_PER_S / 2),
  ]);
  await Promise.all(calls);
  const kills = deployment.nodes.flatMap(({ kills }) => kills);
  const lost = callers.answers.filter(({ attempt, kind, outcome, isKept }) =>
    kind !== "chat" && isKept && outcome === "closed" && passedOn.has(attempt)
  );
  lost.forEach(({ attempt, kind }) => record.add("LOST", { attempt, kind }));
  record.say(
    `${callers.answers.length} requests; peak memory ` +
      deployment.nodes.map(({ peakMb }) => peakMb.toFixed(0)).join(" and ") +
      ` MB of ${MEMORY_MB}; processes ended ${kills.length} times for it; ` +
      `${lost.length} requests from kept channels had been passed on to a ` +
      `sound runner and got no answer`,
  );
  code = lost.length > ALLOWED ? 1 : 0;
} catch (failure) {
  record.say(`could not run: ${failure.stack}`);
} finally {
  endless.stop();
  callers.stop();
  deployment.stop();
}
process.exit(code);
