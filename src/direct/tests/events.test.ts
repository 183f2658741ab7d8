import { expect, test } from "vitest";
import { createEventSplitter } from "../events.js";

const stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\nda";

test.each([1, 2, 3, 7, 1000])("splits a stream that comes in pieces of %i bytes", size => {
    const splitter = createEventSplitter();
    const events: [string | undefined, string][] = [];
    for (let at = 0; at < stream.length; at += size) {
        const chunk = Buffer.from(stream.slice(at, at + size));
        events.push(
            ...splitter.push(chunk).map(({ id, bytes }): [string | undefined, string] => [id, bytes.toString()]),
        );
    }
    expect(events).toEqual([
        ["1", "id: 1\ndata: a\n\n"],
        ["2", "id:2\r\ndata: b\r\n\r\n"],
        [undefined, "data: no id\n\n"],
    ]);
    expect(splitter.getRemainder().toString()).toBe("id: 3\nda");
});
