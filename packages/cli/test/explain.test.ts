import { describe, expect, it } from "vitest";
import { explainRequest } from "../src/explanation.ts";
import { type LogLine, parseLogLine } from "../src/log-line.ts";

const LOG = `
time=2026-08-28T16:55:40.000Z level=warn event=group_suspected node=n1 group="m1~1~i-1~10.0.0.1:80" epoch=1 source="own requests"
time=2026-08-28T16:55:41.000Z level=info event=attempt_failed node=n1 request=r1 instance=i-1 group="m1~1~i-1~10.0.0.1:80" load=4 verdict=may-have-run error="Error: the group has stalled" left_ms=7600
time=2026-08-28T16:55:40.500Z level=info event=group_checked node=n2 group="m1~1~i-1~10.0.0.1:80" epoch=1 present=5 listed=6 expected=6
time=2026-08-28T16:55:41.400Z level=info event=request_answered node=n1 request=r1 route=a instance=i-2 load=3 upstream_load=44 status=200 attempts=2 events=7 first_ms=700 total_ms=1400
time=2026-08-28T16:55:42.000Z level=info event=request_refused node=n1 request=r2 path=/a/ code=unauthorized verdict=not-run status=401 reason="the API key is missing or unknown" version=11 configuration_age_ms=587 total_ms=1
time=2026-08-28T16:55:44.000Z level=warn event=answer_cut node=n1 request=r3 by=node unsent_bytes=4100197
time=2026-08-28T16:55:43.999Z level=info event=node_closing node=n1 in_flight=0 unsent=1
time=2026-08-28T16:50:00.000Z level=info event=group_changed node=n1 lead=i-1 group="m1~1~i-1~10.0.0.1:80" from=ready to=open
`;

function parseAll(text: string): LogLine[] {
  return text.split("\n").flatMap((line) =>
    parseLogLine(line).match({ Ok: (parsed) => [parsed], Err: () => [] })
  );
}

describe("parseLogLine", () => {
  describe("valid lines", () => {
    it("keep values with spaces, and ignore text before the time", () => {
      const line = parseLogLine(
        '  1.5 front time=2026-08-28T16:55:40.000Z level=info event=x error="a \\"b\\" c"',
      );
      expect(line.isOk && line.value.fields.get("error")).toBe('a "b" c');
    });
  });

  describe("malformed lines", () => {
    it.each([
      "no line at all",
      'time=2026-08-28T16:55:40.000Z level=info event=x error="cut o',
      "time=yesterday level=info event=x",
      "time=2026-08-28T16:55:40.000Z level=info",
    ])("are rejected: %s", (text) => {
      expect(parseLogLine(text).isErr).toBe(true);
    });
  });
});

describe("explainRequest", () => {
  const all = parseAll(LOG);

  it("sorts the request's lines and adds state changes around them", () => {
    const { findings, context } = explainRequest("r1", all);
    expect(findings).toHaveLength(2);
    expect(findings[0]).toContain("the group has stalled");
    expect(findings[1]).toContain("answered with 200 by i-2 after 2 attempts");
    expect(context.map(({ event }) => event))
      .toEqual(["group_suspected", "group_checked"]);
  });

  it("names an answer that a stop has cut, and the stop", () => {
    const { findings, context } = explainRequest("r3", all);
    expect(findings[0]).toContain("the node closed the connection before");
    expect(findings[0]).toContain("at most 4100197 bytes were left");
    expect(context.map(({ event }) => event)).toContain("node_closing");
  });

  it("shows an outdated request count next to the upstream's own", () => {
    const { findings } = explainRequest("r1", all);
    expect(findings[1]).toContain(
      "had counted 3 requests there, the upstream 44",
    );
  });

  it("names the version that decided a refusal, and its age", () => {
    const { findings } = explainRequest("r2", all);
    expect(findings[0]).toContain("version 11, read 587 ms before");
  });

  it("finds nothing for an ID that no line mentions", () => {
    expect(explainRequest("r9", all).findings).toEqual([]);
  });
});
