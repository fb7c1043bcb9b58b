/**
 * A request for a stream, whose contents do not matter.
 *
 * @module
 */
export const GENERATE_REQUEST = {
  request: "r",
  group: "g",
  model: "m",
  messages: [],
  maxTokens: 1,
  priority: 0,
  offset: 0,
};
