/** Polls the platform's instance list, which names the processes of entries and slots with their addresses. */
import type { Stream } from "most";
import { request } from "undici";
import { z } from "zod";
import { CallError } from "../core/errors.js";
import { readBodyWithProgress, startProgressTimeout } from "../core/progressTimeout.js";
import { pollEvery } from "../core/streams.js";
import { type InstanceRecord, InstanceState, Role } from "../core/types.js";

const minIntervalMs = 2000;
/** Maximum time without data, in milliseconds. */
const timeoutMs = 2000;
/** Bandwidth limit: longer lists are polled less often, and gossip spreads changes in the meantime. */
const maxListBytesPerSecond = 512;

const ListSchema = z.object({
    instances: z.array(z.object({
        instance: z.string(),
        role: z.enum(Role),
        dataCentre: z.string(),
        url: z.string(),
        state: z.enum(InstanceState),
        pool: z.string().optional(),
        group: z.string().optional(),
        rank: z.number().int().nonnegative().optional(),
    })),
});

interface FetchedList {
    instances: InstanceRecord[];
    /** Size of the response body. */
    bytes: number;
}

/** Computes the delay until the next poll after a response of `bytes`, in milliseconds. */
export function computePollIntervalMs(bytes: number): number {
    return Math.max(minIntervalMs, bytes / maxListBytesPerSecond * 1000);
}

/** Streams the list. Failed polls are reported to `onError` and emit nothing, so the last list stays valid. */
export function streamInstances(url: string, onError: (error: Error) => void): Stream<InstanceRecord[]> {
    const computeIntervalMs = (list: FetchedList | undefined) => computePollIntervalMs(list?.bytes ?? 0);
    return pollEvery(computeIntervalMs, () => fetchInstances(url), onError).map(list => list.instances);
}

/** Fetches the list once; throws a `CallError`, a network error, or a parse error if the response is not valid. */
export async function fetchInstances(url: string): Promise<FetchedList> {
    const timeout = startProgressTimeout(timeoutMs);
    try {
        const response = await request(`${url}/instances`, { signal: timeout.signal });
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new CallError(`the instance list request failed with status ${response.statusCode}`);
        }
        const text = await readBodyWithProgress(response.body, timeout);
        return { instances: ListSchema.parse(JSON.parse(text)).instances, bytes: Buffer.byteLength(text) };
    }
    finally {
        timeout.clear();
    }
}
