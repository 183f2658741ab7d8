/** Stand-in for the platform's lagging list of instances. */
import type { InstanceRecord } from "../core/types.js";
import { sendJson, startHttpServer } from "./http.js";

export interface FakeInstanceList {
    url: string;
    /** Replaces the true list; answers show it `lagMs` later. */
    setInstances: (instances: InstanceRecord[]) => void;
    getInstances: () => InstanceRecord[];
    faults: { down: boolean; lagMs: number; };
    close: () => void;
}

/** Starts the stand-in on `port`; 0 picks a free one. */
export async function startFakeInstanceList(port: number): Promise<FakeInstanceList> {
    let currentInstances: InstanceRecord[] = [];
    let visibleInstances: InstanceRecord[] = [];
    const faults = { down: false, lagMs: 0 };
    const { server, url } = await startHttpServer(port, {
        "GET /instances": (message, body, response) => {
            if (faults.down) {
                sendJson(response, 503, { error: "the list is down" });
                return;
            }
            sendJson(response, 200, { instances: visibleInstances });
        },
    });
    return {
        url,
        faults,
        getInstances: () => currentInstances,
        setInstances: instances => {
            currentInstances = instances;
            if (faults.lagMs === 0) {
                visibleInstances = instances;
                return;
            }
            setTimeout(() => {
                visibleInstances = instances;
            }, faults.lagMs);
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
