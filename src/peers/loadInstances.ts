/** Polls the platform's list of instances. */
import type { Stream } from "most";
import { request } from "undici";
import { z } from "zod";
import { CallError } from "../core/errors.js";
import { pollEvery } from "../core/streams.js";
import { type InstanceRecord, InstanceState, Role } from "../core/types.js";

const minIntervalMs = 2000;
const timeoutMs = 2000;
/** Budget for reading the list: a longer list is polled less often, and gossip tells of changes meanwhile. */
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
    bytes: number;
}

/** Computes the time to the next poll after an answer of `bytes`, in milliseconds. */
export function computePollIntervalMs(bytes: number): number {
    return Math.max(minIntervalMs, bytes / maxListBytesPerSecond * 1000);
}

/** Streams the list; outages are reported to `onError` and leave the last list standing. */
export function streamInstances(url: string, onError: (error: Error) => void): Stream<InstanceRecord[]> {
    const computeIntervalMs = (list: FetchedList | undefined) => computePollIntervalMs(list?.bytes ?? 0);
    return pollEvery(computeIntervalMs, () => fetchInstances(url), onError).map(list => list.instances);
}

/** Fetches the list once; throws a `CallError` or a network error. */
export async function fetchInstances(url: string): Promise<FetchedList> {
    const response = await request(`${url}/instances`, { signal: AbortSignal.timeout(timeoutMs) });
    if (response.statusCode !== 200) {
        await response.body.dump();
        throw new CallError(`the instance list answered ${response.statusCode}`);
    }
    const text = await response.body.text();
    return { instances: ListSchema.parse(JSON.parse(text)).instances, bytes: Buffer.byteLength(text) };
}
