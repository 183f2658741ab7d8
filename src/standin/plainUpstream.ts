/** Fake of a plain request-response service, such as one for claim submissions or bookings. */
import { countRun, type FakeUpstream } from "./engine.js";
import { sendJson, startHttpServer } from "./http.js";

/** Starts the service on `port`, 0 picks a free port; each call takes `serviceMs` milliseconds and echoes its body. */
export async function startFakePlainUpstream(port: number, serviceMs: number): Promise<FakeUpstream> {
    const runs = new Map<string, number>();
    const runsByKey = new Map<string, number>();
    const { server, url } = await startHttpServer(port, {
        default: async (request, body, response, requestUrl) => {
            countRun(runs, runsByKey, request.headers);
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
