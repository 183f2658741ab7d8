/** Polls the slots (the upstreams' sidecars) in an entry's subset for load reports. */
import { pollEvery } from "../core/streams.js";
import type { InstanceRecord, LoadReport } from "../core/types.js";
import type { Logger } from "../observe/logger.js";
import { chooseProbeTargets } from "../routing/probes.js";
import { updateInstances, updateReport, type UpstreamState, type UpstreamTable } from "../routing/upstreamTable.js";
import { requestRpc, type RpcIdentity } from "../wire/rpc.js";

const probeIntervalMs = 1000;

export interface ProbingOptions {
    identity: RpcIdentity;
    table: UpstreamTable;
    logger: Logger;
    /** Returns the slots in this entry's current subset. */
    listSlots: () => InstanceRecord[];
}

/** Updates the upstream table from the subset and from load reports every second, until the process ends. */
export function startProbing(options: ProbingOptions): void {
    const { table, logger, listSlots } = options;
    let allReported = false;
    const probeTargets = async () => {
        updateInstances(table, listSlots());
        const targets = chooseProbeTargets(table.upstreams.values(), Date.now());
        await Promise.all(targets.map(upstream => probeUpstream(options, upstream)));
        const reportedCount = [...table.upstreams.values()].filter(upstream => upstream.report !== undefined).length;
        if (reportedCount > 0 && reportedCount === table.upstreams.size && !allReported) {
            allReported = true;
            logger.info("The upstreams are known.", { upstreams: reportedCount });
        }
    };
    void pollEvery(probeIntervalMs, probeTargets, () => undefined).drain();
}

/** Requests one load report; an upstream that does not respond keeps its last one. */
async function probeUpstream({ identity, table, logger }: ProbingOptions, upstream: UpstreamState): Promise<void> {
    const { instance, url } = upstream;
    const report = await requestRpc<LoadReport>(identity, url, "report", {}, { target: instance }).catch(() =>
        undefined
    );
    if (report === undefined) {
        return;
    }
    if (upstream.report === undefined) {
        logger.info("An upstream is known.", { upstream: instance });
    }
    updateReport(table, instance, report, Date.now());
}
