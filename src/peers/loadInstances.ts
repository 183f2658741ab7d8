/** Polls the platform's instance list, which names the processes of entries and slots with their addresses. */
import type { Stream } from "most";
import { request } from "undici";
import { z } from "zod";
import { CallError } from "../core/errors.js";
import { readBodyWithProgress, startProgressTimeout } from "../core/progressTimeout.js";
import { pollEvery } from "../core/streams.js";
import type { InstanceRecord } from "../core/types.js";
import { createFirstOccurrenceCheck } from "../observe/firstOccurrence.js";
import { InstanceRecordSchema } from "./instanceSchema.js";

const minIntervalMs = 2000;
/** Maximum time without data, in milliseconds. */
const timeoutMs = 2000;
/** Bandwidth limit: longer lists are polled less often, and gossip spreads changes in the meantime. */
const maxListBytesPerSecond = 512;

/** Maximum number of invalid entries that are remembered as reported. */
const maxReportedEntries = 256;

const ListSchema = z.object({ instances: z.array(z.unknown()) });

interface FetchedList {
    instances: InstanceRecord[];
    /** Entries that are no valid instances, as JSON. */
    invalid: string[];
    /** Size of the response body. */
    bytes: number;
}

/** Computes the delay until the next poll after a response of `bytes`, in milliseconds. */
export function computePollIntervalMs(bytes: number): number {
    return Math.max(minIntervalMs, bytes / maxListBytesPerSecond * 1000);
}

/**
 * Streams the list. Failed polls are reported to `onError` and emit nothing, so the last list stays valid; an entry that is no
 * valid instance is reported once and left out.
 */
export function streamInstances(url: string, onError: (error: Error) => void): Stream<InstanceRecord[]> {
    const computeIntervalMs = (list: FetchedList | undefined) => computePollIntervalMs(list?.bytes ?? 0);
    return pollEvery(computeIntervalMs, createInstanceReader(url, onError), onError).map(list => list.instances);
}

/** Creates a function that fetches the list and reports each invalid entry once; see `fetchInstances`. */
export function createInstanceReader(url: string, onError: (error: Error) => void): () => Promise<FetchedList> {
    const isNewEntry = createFirstOccurrenceCheck(maxReportedEntries);
    return async () => {
        const list = await fetchInstances(url);
        for (const entry of list.invalid) {
            if (isNewEntry(entry)) {
                onError(new CallError(`the entry ${entry} is no valid instance`));
            }
        }
        return list;
    };
}

/**
 * Fetches the list once; throws a `CallError`, a network error, or a parse error if the response is not valid. An entry that
 * is no valid instance neither replaces nor blocks the others.
 */
export async function fetchInstances(url: string): Promise<FetchedList> {
    const timeout = startProgressTimeout(timeoutMs);
    try {
        const response = await request(`${url}/instances`, { signal: timeout.signal });
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new CallError(`the instance list request failed with status ${response.statusCode}`);
        }
        const text = await readBodyWithProgress(response.body, timeout);
        const entries = ListSchema.parse(JSON.parse(text)).instances;
        const parsed = entries.map(entry => InstanceRecordSchema.safeParse(entry));
        return {
            instances: parsed.flatMap(({ data }) => data ?? []),
            invalid: entries.filter((entry, index) => !parsed[index].success).map(entry => JSON.stringify(entry)),
            bytes: Buffer.byteLength(text),
        };
    }
    finally {
        timeout.clear();
    }
}
