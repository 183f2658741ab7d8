import { createServer } from "node:http";
import { afterEach, expect, it } from "vitest";
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
    let rest = JSON.stringify({ instances });
    const pieceBytes = Math.ceil(rest.length / 5);
    const server = createServer((message, response) => {
        const timer = setInterval(() => {
            response.write(rest.slice(0, pieceBytes));
            rest = rest.slice(pieceBytes);
            if (rest === "") {
                clearInterval(timer);
                response.end();
            }
        }, 600);
        closers.push(() => clearInterval(timer));
    });
    closers.push(() => server.close(), () => server.closeAllConnections());
    const port = await listenOn(server, "127.0.0.1", 0);
    expect((await fetchInstances(`http://127.0.0.1:${port}`)).instances).toEqual(instances);
}, 20_000);
