import type { IncomingMessage } from "node:http";
import { expect, test } from "vitest";
import { createCallerMemory } from "../callerMemory.js";
import { RequestFields } from "../requestFields.js";

// Guards against an entry that runs out of memory: long paths of requests that wait were not in the account.
test("the target of a request is in the account, and packed and restored with its fields", () => {
    const target = `/${"x".repeat(12_000)}`;
    const message = { url: target, rawHeaders: ["Host", "h"] } as unknown as IncomingMessage;
    const reservation = createCallerMemory(2 ** 20, () => 0).open(() => undefined);
    const fields = new RequestFields(message);
    fields.transferTo(reservation);
    const parsedBytes = reservation.getBytes();
    fields.pack();
    const packed = { url: message.url, bytes: reservation.getBytes() };
    fields.restore();
    expect({ parsedBytes, packed, url: message.url === target, rawHeaders: message.rawHeaders }).toEqual({
        parsedBytes: target.length + 180,
        packed: { url: "", bytes: `${target}\nHost\nh`.length },
        url: true,
        rawHeaders: ["Host", "h"],
    });
});
