import { createServer } from "node:http";
import { afterEach, expect, it } from "vitest";
import { sendInPieces } from "../../standin/slowResponse.js";
import { listenOn } from "../../wire/listen.js";
import { fetchInstances } from "../loadInstances.js";

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
