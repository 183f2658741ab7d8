/** Stand-in for the platform's lagging list of instances. */
import type { InstanceRecord } from "../core/types.js";
import { sendJson, startServer } from "./http.js";

export interface ListStandin {
    url: string;
    /** Replaces the true list; answers show it `lagMs` later. */
    set: (instances: InstanceRecord[]) => void;
    get: () => InstanceRecord[];
    faults: { down: boolean; lagMs: number; };
    close: () => void;
}

/** Starts the stand-in on `port`; 0 picks a free one. */
export async function startListStandin(port: number): Promise<ListStandin> {
    let current: InstanceRecord[] = [];
    let shown: InstanceRecord[] = [];
    const faults = { down: false, lagMs: 0 };
    const { server, url } = await startServer(port, {
        "GET /instances": (message, body, response) => {
            if (faults.down) {
                sendJson(response, 503, { error: "the list is down" });
                return;
            }
            sendJson(response, 200, { instances: shown });
        },
    });
    return {
        url,
        faults,
        get: () => current,
        set: instances => {
            current = instances;
            if (faults.lagMs === 0) {
                shown = instances;
                return;
            }
            setTimeout(() => {
                shown = instances;
            }, faults.lagMs);
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
