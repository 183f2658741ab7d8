/**
 * Quarantine of prompt parts for requests that go through slots. Crash reports are records of a stream of the log, which
 * every entry tails.
 */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import {
    createRequestQuarantine,
    type QuarantineVerdict,
    type RequestQuarantine,
} from "../direct/requestQuarantine.js";
import { tailStream } from "../log/tail.js";
import type { LogClient } from "../log/types.js";
import { containFaults, type FaultReporter } from "../observe/faults.js";
import type { Logger } from "../observe/logger.js";
import { formatIncarnation, type LostRequest } from "../routing/quarantine.js";
import { computeRequestDigest } from "../wire/requestDigest.js";
import type { Exchange } from "./types.js";

/** Prompt of a request, as its caller describes it. */
export interface PromptHead {
    id: string;
    /** Digest of the whole request; see `computeRequestDigest`. */
    digest: string;
    head: { sharedPromptParts: string[]; ownPromptPart: string | undefined; };
}

export interface PromptQuarantine extends Pick<RequestQuarantine, "getLatestCrashes" | "recordAnswer" | "recordLoss"> {
    /** Returns why a request must not be sent; undefined if it may be. `hasRun` is whether it may have run before. */
    findObstacle: (prompt: PromptHead, hasRun: boolean) => PromptObstacle | undefined;
}

export interface PromptObstacle {
    title: string;
    /** Missing if the request will not be served later either. */
    retryAfterSeconds?: number;
}

export interface PromptQuarantineOptions {
    instance: string;
    environment: string;
    log: LogClient;
    logger: Logger;
    /** Monotonic clock, in milliseconds. */
    now: () => number;
    onCrash: () => void;
    onRejection: () => void;
    /** Called with what a step outside of a request throws. */
    reportFault: FaultReporter;
}

/** Header in which a caller lists the ids of its prompt's parts in order; the last part is the request's own. */
const partsHeader = "prompt-parts";
const partPattern = /^[\w.-]{1,64}$/;
const maxSharedParts = 64;
/** Time after the start for which requests with shared parts wait until the stream has been read, in milliseconds. */
const maxStartupMs = 5000;
const startupRetryAfterSeconds = 1;
/** Time for which requests that were lost in one crash are collected, in milliseconds. */
const collectMs = 5000;

const BatchSchema = z.object({ records: z.array(z.object({ key: z.string(), value: z.string().optional() })) });
/** Records of one append share its offset; they are spread over this part of the way to the next one. */
const maxBatchRecords = 1024;

/** Parses the prompt parts that the caller of a request lists; the body must have been read. */
export function parsePromptHead({ requestId: id, workspace, message, bodyReader }: Exchange): PromptHead {
    const { method = "GET", url = "/", headers } = message;
    const ids = String(headers[partsHeader] ?? "").split(",").map(part => part.trim());
    const digest = computeRequestDigest({
        caller: workspace!.name,
        method,
        host: headers.host ?? "",
        target: url,
        bodyHash: bodyReader.computeHash(),
        promptParts: ids,
    });
    const ownPromptPart = ids.pop();
    const sharedPromptParts = ids.filter(part => partPattern.test(part)).slice(0, maxSharedParts);
    return { id, digest, head: { sharedPromptParts, ownPromptPart } };
}

/** Creates the quarantine of an entry and starts to tail its stream. */
export function startPromptQuarantine(options: PromptQuarantineOptions): PromptQuarantine {
    const { instance, environment, log, logger, now } = options;
    const stream = `${environment}-quarantine`;
    const startedAt = now();
    let isRead = false;
    const quarantine = createRequestQuarantine({
        instance,
        now,
        random: Math.random,
        logger,
        append: async records => await log.append(stream, [{ id: randomUUID(), data: { records } }]),
        relay: () => undefined,
        onCrash: options.onCrash,
        onChange: () => undefined,
        reportFault: options.reportFault,
        createMonitor: createCrashCollector,
    });
    void tailStream(log, stream, error => logger.warn("Reading the quarantine failed.", { error: error.message }))
        .observe(containFaults(options.reportFault, ({ records, atEnd }) => {
            quarantine.applyRecords(records.flatMap(({ offset, data }) => {
                const batch = BatchSchema.safeParse(data);
                return (batch.data?.records ?? []).map((record, index) => ({
                    ...record,
                    offset: offset + index / maxBatchRecords,
                }));
            }));
            isRead ||= atEnd;
        }));
    return {
        ...quarantine,
        findObstacle: (prompt, hasRun) => {
            const quarantined = quarantine.find(prompt);
            if (quarantined !== undefined) {
                options.onRejection();
                return { title: formatRejection(quarantined) };
            }
            const deferralMs = quarantine.computeDeferralMs(prompt, hasRun);
            if (deferralMs > 0) {
                const title = "An upstream has crashed under the request";
                return { title, retryAfterSeconds: Math.ceil(deferralMs / 1000) };
            }
            const mustWait = prompt.head.sharedPromptParts.length > 0 && !isRead && now() - startedAt < maxStartupMs;
            return mustWait ?
                { title: "The quarantine has not been read yet", retryAfterSeconds: startupRetryAfterSeconds } :
                undefined;
        },
    };
}

function formatRejection({ parts, upstreams }: QuarantineVerdict): string {
    return parts.length === 0 ?
        `${upstreams.length} upstreams crashed under the request` :
        `The prompt contains parts under which ${upstreams.length} upstreams crashed: ${parts.join(", ")}`;
}

/** Creates a monitor for losses that slots have found to be crashes; collects the requests of each crash. */
function createCrashCollector({ onCrash }: { onCrash: (incarnation: string, requests: LostRequest[]) => void; }) {
    const lostRequests = new Map<string, LostRequest[]>();
    return {
        recordLoss: async (upstream: { id: string; startedAt?: number; }, request: LostRequest) => {
            const incarnation = formatIncarnation(upstream);
            const requests = lostRequests.get(incarnation) ?? [];
            if (requests.length === 0) {
                lostRequests.set(incarnation, requests);
                setTimeout(() => lostRequests.delete(incarnation), collectMs).unref();
            }
            requests.push(request);
            onCrash(incarnation, requests);
        },
    };
}
