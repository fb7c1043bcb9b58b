/**
 * `npm run bench`: measurements, one JSON object a line.
 *
 * @module
 */
console.log(JSON.stringify({ name: "none", value: 0, unit: "" }));
