/** A pipelined request that was refused without its body being read kept the connection from being read any further. */
import { afterEach, expect, test } from "vitest";
import { demoKeys } from "../../demo/document.js";
import {
    type EntryWithFakeSlot,
    fakeLoadReport,
    type FakeSlotCall,
    startEntryWithFakeSlot,
} from "../../standin/fakeSlot.js";
import { formatRequest, openRawConnection } from "../../standin/rawConnection.js";

let fake: EntryWithFakeSlot;
afterEach(() => fake.close());

const key = `authorization: Bearer ${demoKeys.caseworkers}`;

/** Responds after a while, so that the requests behind have arrived. */
function sendResponseLate(call: FakeSlotCall): void {
    const frames = [
        { kind: "accepted", incarnation: "fake" },
        { kind: "head", status: 200, headers: { "content-type": "text/plain" } },
        { kind: "data", data: "ok" },
        { kind: "end", length: 2, load: fakeLoadReport },
    ];
    setTimeout(() => {
        frames.forEach((frame, sequence) => call.sendFrame({ sequence, ...frame }));
        call.response.end();
    }, 200);
}

test.each([1000, 200_000, 1_000_000])(
    "answers the request behind a refused one with a body of %d bytes",
    async bytes => {
        fake = await startEntryWithFakeSlot(sendResponseLate);
        const call = formatRequest("POST /lookups/x HTTP/1.1", [key], "x");
        const refused = formatRequest(
            "POST /lookups/x HTTP/1.1",
            [key, "priority: u=1", "priority: u=2"],
            "x".repeat(bytes),
        );
        const connection = openRawConnection(fake.url, call + refused.slice(0, -bytes / 2));
        const list = (text: string) => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]);
        await connection.waitForText(received => list(received).length === 2);
        connection.socket.write(refused.slice(-bytes / 2) + call);
        const timer = setTimeout(() => connection.socket.destroy(), 3000);
        const text = await connection.waitForText(received => list(received).length === 3);
        clearTimeout(timer);
        connection.socket.destroy();
        expect(list(text)).toEqual(["200", "400", "200"]);
    },
);
