/** Cancels runs (executions of requests at slots) whose responses nobody reads any more. */
import { requestRpc, type RpcIdentity } from "../wire/rpc.js";

/** A run that may be in progress at a slot. */
export interface OpenRun {
    requestId: string;
    attempt: number;
    /** Incarnation of the slot for which the run was sent; undefined before its first report. */
    incarnation: string | undefined;
    /** Address and name of the slot. */
    url: string;
    instance: string;
}

/** Delays after failed calls, in milliseconds; by then the slot has noticed that the stream was closed. */
const retryDelaysMs = [250, 500, 1000, 2000, 4000];

/** Cancels a run; a call that fails is repeated, since the slot may be busy or its connection lost. */
export async function cancelRun(identity: RpcIdentity, run: OpenRun): Promise<void> {
    const { requestId, attempt, incarnation, url, instance: target } = run;
    for (const delayMs of retryDelaysMs) {
        try {
            await requestRpc(identity, url, "cancel", { requestId, attempt, incarnation }, { target });
            return;
        }
        catch {
            await new Promise(resolve => setTimeout(resolve, delayMs).unref());
        }
    }
}
