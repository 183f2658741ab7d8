/** Ports for fakes and processes that stop listening and listen again at the same address. */
import { createServer } from "node:net";
import { listenOn } from "../wire/listen.js";

/** Ports below those that the system gives to outgoing connections, which could take a port while nothing listens on it. */
const portRange = { first: 12_000, count: 18_000 };
const maxAttempts = 100;

/** Finds a free port on the loopback interface; throws if there is none in many attempts. */
export async function allocateStablePort(): Promise<number> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const server = createServer();
        const port = portRange.first + Math.floor(Math.random() * portRange.count);
        const isFree = await listenOn(server, "127.0.0.1", port).then(() => true, () => false);
        await new Promise(resolve => isFree ? server.close(resolve) : resolve(undefined));
        if (isFree) {
            return port;
        }
    }
    throw new Error(`No port was free in ${maxAttempts} attempts`);
}
