import { expect, test } from "vitest";
import { createEventScanner } from "../eventStream.js";
import { findTruncation } from "../responseCompletion.js";
import { ResponseFraming } from "../responseFraming.js";

const bodies = { empty: "", whole: "data: a\n\n", broken: "data: a\n\ndata: b\n" };

test("tells a complete response from a truncated one by its framing and its events", () => {
    const rows = Object.values(ResponseFraming).map(framing => {
        const results = Object.entries(bodies).map(([name, body]) => {
            const scanner = createEventScanner();
            scanner.push(Buffer.from(body));
            return `${name}: ${findTruncation(framing, scanner) ?? "complete"}`;
        });
        return `${framing} | ${results.join(" | ")} | no event stream: ${
            findTruncation(framing, undefined) ?? "complete"
        }`;
    });
    expect(rows).toMatchInlineSnapshot(`
      [
        "none | empty: complete | whole: complete | broken: complete | no event stream: complete",
        "length | empty: complete | whole: complete | broken: the stream ended inside an event | no event stream: complete",
        "chunked | empty: complete | whole: complete | broken: the stream ended inside an event | no event stream: complete",
        "connection | empty: the stream ended with its connection before an event | whole: complete | broken: the stream ended inside an event | no event stream: complete",
      ]
    `);
});
