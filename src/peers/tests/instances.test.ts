import { createServer } from "node:http";
import { afterEach, expect, it } from "vitest";
import { sendInPieces } from "../../standin/slowResponse.js";
import { listenOn } from "../../wire/listen.js";
import { createInstanceReader, fetchInstances } from "../loadInstances.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

it("does not give up a list that makes progress for longer than its time limit", async () => {
    const instances = Array.from({ length: 200 }, (ignored, index) => ({
        instance: `entry-${index}`,
        role: "entry",
        dataCentre: "a",
        url: "http://127.0.0.1:1",
        state: "live",
    }));
    const body = JSON.stringify({ instances });
    const link = { pieceBytes: Math.ceil(body.length / 5), intervalMs: 600 };
    const server = createServer((message, response) => sendInPieces(response, body, link));
    closers.push(() => server.close(), () => server.closeAllConnections());
    const port = await listenOn(server, "127.0.0.1", 0);
    expect((await fetchInstances(`http://127.0.0.1:${port}`)).instances).toEqual(instances);
}, 20_000);

const sound = {
    instance: "slot-1",
    role: "slot",
    dataCentre: "a",
    url: "http://127.0.0.1:1",
    state: "live",
    pool: "p",
};

it.each<[string, unknown]>([
    ["no object", 7],
    ["no id", { ...sound, instance: undefined }],
    ["an empty id", { ...sound, instance: "" }],
    ["an id that no header can carry", { ...sound, instance: "slot\n2" }],
    ["an overlong id", { ...sound, instance: "s".repeat(101) }],
    ["no address", { ...sound, instance: "slot-2", url: undefined }],
    ["an address that is none", { ...sound, instance: "slot-2", url: "slot-2" }],
    ["an address of another protocol", { ...sound, instance: "slot-2", url: "file:///x" }],
    ["an unknown role", { ...sound, instance: "slot-2", role: "core" }],
    ["an unknown state", { ...sound, instance: "slot-2", state: "asleep" }],
    ["a pool that is no text", { ...sound, instance: "slot-2", pool: {} }],
    ["a rank out of range", { ...sound, instance: "slot-2", group: "g", rank: -1 }],
])("reads the sound instances beside an entry with %s, which is reported once", async (name, odd) => {
    const server = createServer((message, response) => response.end(JSON.stringify({ instances: [odd, sound] })));
    closers.push(() => server.close(), () => server.closeAllConnections());
    const port = await listenOn(server, "127.0.0.1", 0);
    const lists: unknown[] = [];
    const errors: string[] = [];
    const read = createInstanceReader(`http://127.0.0.1:${port}`, error => errors.push(error.message));
    lists.push((await read()).instances, (await read()).instances);
    expect({ lists, errors: errors.length }).toEqual({ lists: [[sound], [sound]], errors: 1 });
});
