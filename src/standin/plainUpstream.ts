/** Stand-in for a plain service, such as claim submissions or bookings. */
import { countRun, type FakeUpstream } from "./engine.js";
import { sendJson, startHttpServer } from "./http.js";

/** Starts a plain service on `port`; each call takes `serviceMs`. */
export async function startFakePlainUpstream(port: number, serviceMs: number): Promise<FakeUpstream> {
    const runs = new Map<string, number>();
    const runsByKey = new Map<string, number>();
    const { server, url } = await startHttpServer(port, {
        default: async (message, body, response, requestUrl) => {
            countRun(runs, runsByKey, message.headers);
            if (serviceMs > 0) {
                await new Promise(resolve => setTimeout(resolve, serviceMs));
            }
            sendJson(response, 200, { path: requestUrl.pathname, echo: body });
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
