/**
 * Settings of a node in memory; nothing listens at its addresses.
 *
 * @module
 */
import { Settings } from "@zinniahill/schema";

/** Creates the settings of one node. */
export function createSettings(name: string): Settings {
  return Settings.parse({
    node: {
      name,
      "data-centre": "dc-1",
      "public-address": "127.0.0.1:1",
      "admin-address": "127.0.0.1:2",
      "peer-address": "127.0.0.1:3",
      "admin-token": "admin-token-of-tests",
      "peer-token": "peer-token-of-tests",
    },
    platform: {
      log: "127.0.0.1:4",
      "host-list": "127.0.0.1:5",
      "weight-store": "127.0.0.1:6",
    },
  });
}
