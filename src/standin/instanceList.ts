/** Fake of the platform's instance list, which shows changes with a delay. */
import type { InstanceRecord } from "../core/types.js";
import { sendJson, startHttpServer } from "./http.js";

export interface FakeInstanceList {
    url: string;
    /** Replaces the instances; responses show them after `faults.lagMs`. */
    setInstances: (instances: InstanceRecord[]) => void;
    /** Returns the instances set last, also when responses do not show them yet. */
    getInstances: () => InstanceRecord[];
    /** `down`: every request gets status 503; `lagMs`: delay until changes are visible, in milliseconds. */
    faults: { down: boolean; lagMs: number; };
    close: () => void;
}

/** Starts the list on `port`; 0 picks a free port. */
export async function startFakeInstanceList(port: number): Promise<FakeInstanceList> {
    let currentInstances: InstanceRecord[] = [];
    let visibleInstances: InstanceRecord[] = [];
    const faults = { down: false, lagMs: 0 };
    const { server, url } = await startHttpServer(port, {
        "GET /instances": (request, body, response) => {
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
