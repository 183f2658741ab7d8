/** Polls the platform's list of instances. */
import * as most from "most";
import { request } from "undici";
import { z } from "zod";
import { CallError } from "../core/errors.js";
import { type InstanceRecord, InstanceState, Role } from "../core/types.js";

const minIntervalMs = 2000;
const timeoutMs = 2000;
/** Budget for reading the list: a longer list is polled less often, and gossip tells of changes meanwhile. */
const listBytesPerSecond = 512;

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
    return Math.max(minIntervalMs, bytes / listBytesPerSecond * 1000);
}

/** Streams the list; outages are reported to `onError` and leave the last list standing. */
export function streamInstances(url: string, onError: (error: Error) => void): most.Stream<InstanceRecord[]> {
    return new most.Stream<InstanceRecord[]>({
        run(sink, scheduler) {
            let timer: NodeJS.Timeout | undefined;
            let disposed = false;
            const pollOnce = async () => {
                let intervalMs = minIntervalMs;
                try {
                    const { instances, bytes } = await fetchInstances(url);
                    intervalMs = computePollIntervalMs(bytes);
                    if (!disposed) {
                        sink.event(scheduler.now(), instances);
                    }
                }
                catch (error) {
                    onError(error as Error);
                }
                if (!disposed) {
                    timer = setTimeout(pollOnce, intervalMs);
                }
            };
            void pollOnce();
            return {
                dispose() {
                    disposed = true;
                    clearTimeout(timer);
                },
            };
        },
    });
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
