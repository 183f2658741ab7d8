/** Stand-in for a plain service, such as claim submissions or bookings. */
import { countRun, type UpstreamStandin } from "./engine.js";
import { sendJson, startServer } from "./http.js";

/** Starts a plain service on `port`; each call takes `serviceMs`. */
export async function startPlainStandin(port: number, serviceMs: number): Promise<UpstreamStandin> {
    const runs = new Map<string, number>();
    const runsByKey = new Map<string, number>();
    const { server, url } = await startServer(port, {
        default: async (message, body, response, requested) => {
            countRun(runs, runsByKey, message.headers);
            if (serviceMs > 0) {
                await new Promise(resolve => setTimeout(resolve, serviceMs));
            }
            sendJson(response, 200, { path: requested.pathname, echo: body });
        },
    });
    return {
        url,
        runs,
        runsByKey,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
