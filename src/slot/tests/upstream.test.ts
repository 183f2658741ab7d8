import { expect, it } from "vitest";
import { filterResponseHeaders } from "../upstream.js";

it("joins repeated headers of an answer, but for cookies, and drops those of the connection", () => {
    const headers = { "set-cookie": ["a=1; Expires=Wed, 1 Dec", "b=2"], vary: ["x", "y"], connection: "close" };
    expect(filterResponseHeaders(headers)).toMatchInlineSnapshot(`
      {
        "set-cookie": [
          "a=1; Expires=Wed, 1 Dec",
          "b=2",
        ],
        "vary": "x, y",
      }
    `);
});
