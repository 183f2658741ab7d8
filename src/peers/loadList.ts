/** Polls the platform's list of instances. */
import type { Stream } from "most";
import { request } from "undici";
import { z } from "zod";
import { CallError } from "../core/errors.js";
import { pollEvery } from "../core/streams.js";
import { type InstanceRecord, InstanceState, Role } from "../core/types.js";

const pollIntervalMs = 1000;
const timeoutMs = 2000;

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

/** Streams the list; outages are reported to `onError` and leave the last list standing. */
export function streamInstances(url: string, onError: (error: Error) => void): Stream<InstanceRecord[]> {
    return pollEvery(pollIntervalMs, () => fetchInstances(url), onError);
}

async function fetchInstances(url: string): Promise<InstanceRecord[]> {
    const response = await request(`${url}/instances`, { signal: AbortSignal.timeout(timeoutMs) });
    if (response.statusCode !== 200) {
        await response.body.dump();
        throw new CallError(`the instance list answered ${response.statusCode}`);
    }
    return ListSchema.parse(await response.body.json()).instances;
}
