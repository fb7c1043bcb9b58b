import { describe, expect, it } from "vitest";
import {
  recordSession,
  type SessionName,
  SESSIONS,
} from "../src/session/sessions.ts";

describe("sessions", () => {
  describe("golden files", () => {
    for (const name of Object.keys(SESSIONS) as SessionName[]) {
      it(`finds any change in what is agreed, ordered or answered: ${name}`, async () => {
        const transcript = await recordSession(name);
        await expect(transcript).toMatchFileSnapshot(`golden/${name}.txt`);
      });
    }
  });

  describe("repeatability", () => {
    it("gives the same transcript twice, so a difference is a change", async () => {
      const name = "publish-form-serve-drain-stop";
      expect(await recordSession(name)).toBe(await recordSession(name));
    });
  });
});
