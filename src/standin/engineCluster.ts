/** Cluster of two entries before engines of one pool, with the demo's document in force. */
import { createDemoDocument } from "../demo/document.js";
import { type Cluster, startCluster } from "./cluster.js";
import type { FakeUpstream } from "./engine.js";
import { publishDocument } from "./publish.js";

/**
 * Starts the cluster; each slot calls its engine directly, so that a lost engine refuses connections. Resolves once each
 * entry knows all slots.
 */
export async function startEngineCluster(engines: FakeUpstream[]): Promise<Cluster> {
    const cluster = await startCluster(
        ["entry-1", "entry-2"].map(instance => ({ instance, dataCentre: "dc-a" })),
        engines.map((upstream, index) => ({
            instance: `slot-${index}`,
            dataCentre: "dc-a",
            pool: "assistant",
            kind: "engine",
            upstream,
            isUpstreamDirect: true,
        })),
    );
    await publishDocument(cluster, createDemoDocument());
    await Promise.all(
        cluster.entries.flatMap(({ process }) =>
            cluster.slots.map(({ options }) =>
                process.waitForLine(({ msg, upstream }) =>
                    msg.endsWith("An upstream is known.") && upstream === options.instance
                )
            )
        ),
    );
    return cluster;
}
