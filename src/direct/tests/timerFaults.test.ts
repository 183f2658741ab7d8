/** An error in a step that runs at an interval ended the process, or the step for good. */
import { afterAll, afterEach, beforeEach, expect, test, vi } from "vitest";
import type { ServingDocument, ServingPool } from "../../config/serving.js";
import { createFeed, type Feed, type FeedTopic } from "../../peers/feed.js";
import { createGroupTracker, updateGroupState } from "../../routing/groupTracker.js";
import { createUpstreamTracker, UpstreamAdmission } from "../../routing/upstreamTracker.js";
import { collectUncaughtErrors } from "../../standin/uncaughtErrors.js";
import { createCrashMonitor } from "../crashMonitor.js";
import type { DirectDispatch } from "../directDispatch.js";
import { createQuarantineSharing } from "../quarantineSharing.js";
import { createRateLimiter } from "../rateLimiter.js";
import { createScheduler } from "../scheduler.js";

const { errors: uncaught, stop: stopCollecting } = collectUncaughtErrors();
afterAll(stopCollecting);
beforeEach(() => void vi.useFakeTimers());
afterEach(() => {
    vi.useRealTimers();
    uncaught.splice(0);
});

const ignore = () => undefined;
const logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };
const now = () => performance.now();
const random = () => 0.5;

/** Makes calls throw while `isFaulty` and return `value` otherwise. */
function createFaultyStep<T>(value: T) {
    const faulty = { isFaulty: false, step: () => value };
    faulty.step = () => {
        if (faulty.isFaulty) {
            throw new TypeError("a fault of this process");
        }
        return value;
    };
    return faulty;
}

/** Collects reported errors, of which those that went to the process are none. */
function createReport() {
    const faults: string[] = [];
    return { faults, reportFault: (error: Error) => void faults.push(error.message) };
}

const advance = async (ms: number) => {
    await vi.advanceTimersByTimeAsync(ms);
};

test.each(["findPool", "listUnservable", "isPoolLimited"])("the queue goes on after %s has thrown", async name => {
    const { faults, reportFault } = createReport();
    const faultySteps = {
        findPool: createFaultyStep({ name: "p", engine: { slots: 8 } } as ServingPool),
        listUnservable: createFaultyStep([]),
        isPoolLimited: createFaultyStep(false),
    };
    const startedAt = now();
    const groupTracker = createGroupTracker();
    updateGroupState(groupTracker, "p", { isOpen: false, epoch: 1, observedAt: startedAt });
    const scheduler = createScheduler({
        upstreamTracker: createUpstreamTracker(),
        groupTracker,
        dataCentre: "a",
        now,
        random,
        hasUpstreamRoom: () => true,
        findPool: faultySteps.findPool.step,
        drainMs: 2000,
        noticeRecorder: { listApplied: () => [] },
        reportFault,
        rateLimiter: {
            getAdmission: () => UpstreamAdmission.unlimited,
            takePermit: ignore,
            isPoolLimited: faultySteps.isPoolLimited.step,
            admitWaiting: ignore,
            listUnservable: faultySteps.listUnservable.step,
            requestPermits: ignore,
            listApplied: () => [],
        },
    });
    const ended: string[] = [];
    const place = (id: string, latestSendAt: number) =>
        scheduler.place({
            request: { pool: "p", id },
            latestSendAt,
            needsRun: () => true,
            endIfQuarantined: () => false,
            endWithFault: () => ended.push(id),
            expire: () => ended.push(id),
        } as unknown as DirectDispatch);
    place("first", startedAt + 200);
    const faultyStep = faultySteps[name as keyof typeof faultySteps];
    faultyStep.isFaulty = true;
    await advance(50);
    faultyStep.isFaulty = false;
    place("second", startedAt + 300);
    await advance(400);
    expect({ ended, isReported: faults.length > 0, uncaught }).toEqual({
        ended: ["first", "second"],
        isReported: true,
        uncaught: [],
    });
});

test.each(["onList", "onDocument", "onRead", "isContinuousReader"])(
    "the feed goes on after %s has thrown",
    async name => {
        const { faults, reportFault } = createReport();
        const faultyStep = createFaultyStep(true);
        faultyStep.isFaulty = true;
        const callbacks = { onList: ignore, onDocument: ignore, onRead: ignore, isContinuousReader: () => true };
        let end = 1;
        const readNewest = async (topic: FeedTopic) => ({
            records: [{ key: topic, offset: end - 1, value: String(end) }],
            end,
            isComplete: true,
        });
        const feed: Feed = createFeed({
            source: {
                readNewest,
                read: async (topic, from, waitMs) => {
                    await new Promise(resolve => setTimeout(resolve, waitMs));
                    return { ...await readNewest(topic), isComplete: false };
                },
            },
            decoders: {
                decodeDocument: text => ({ revision: Number(text), pools: [] }) as unknown as ServingDocument,
                getRevision: ({ revision }) => revision,
                decodeUpstream: (id, text) => ({
                    id,
                    pool: "p",
                    host: id,
                    port: Number(text),
                    dataCentre: "a",
                    isLeaving: false,
                }),
            },
            now,
            random,
            logger,
            reportFault,
            fetchFromPeer: async () => undefined,
            timing: { staleAfterMs: 1000, jitterMs: 0, maxCatchUpDelayMs: 250 },
            ...callbacks,
            [name]: faultyStep.step,
        });
        feed.start();
        await advance(1200);
        faultyStep.isFaulty = false;
        end = 2;
        await advance(1200);
        feed.stop();
        const { revision } = feed.state.document ?? {};
        expect({ revision, listEnd: feed.state.listEnd, isReported: faults.length > 0, uncaught }).toEqual({
            revision: 2,
            listEnd: 2,
            isReported: true,
            uncaught: [],
        });
    },
);

test("requests for permits go on after the limiter's exchange has thrown", async () => {
    const { faults, reportFault } = createReport();
    const seeds = createFaultyStep(["10.0.0.2"]);
    const sent: string[] = [];
    const limiter = createRateLimiter({
        host: "10.0.0.1",
        now,
        random,
        logger,
        upstreamTracker: createUpstreamTracker(),
        listSeeds: seeds.step,
        listWaiting: () => [],
        send: (message, host) => sent.push(host),
        onPermits: ignore,
        onLimitsChanged: ignore,
        reportFault,
    });
    const upstream = { id: "u", pool: "p", host: "10.0.0.9", port: 1, dataCentre: "a", isLeaving: false };
    limiter.observeResponse(upstream, ["3"]);
    seeds.isFaulty = true;
    await advance(200);
    seeds.isFaulty = false;
    sent.splice(0);
    await advance(2000);
    expect({ isSending: sent.length > 0, isReported: faults.length > 0, uncaught }).toEqual({
        isSending: true,
        isReported: true,
        uncaught: [],
    });
});

test.each(["relay", "onError", "apply"])("quarantine records are appended after %s has thrown", async name => {
    const { faults, reportFault } = createReport();
    const faultyStep = createFaultyStep(undefined);
    let isLogDown = name !== "apply";
    let appends = 0;
    const sharing = createQuarantineSharing({
        append: async () => {
            appends += 1;
            return isLogDown ? Promise.reject(new Error("down")) : 1;
        },
        relay: ignore,
        apply: ignore,
        random,
        onError: ignore,
        reportFault,
        [name]: () => faultyStep.step(),
    });
    sharing.publish([{ key: "k" }]);
    faultyStep.isFaulty = true;
    await advance(100);
    faultyStep.isFaulty = false;
    isLogDown = false;
    await advance(3000);
    expect({ pending: sharing.listPending(), appends, isReported: faults.length > 0, uncaught }).toEqual({
        pending: [],
        appends: name === "apply" ? 1 : 2,
        isReported: true,
        uncaught: [],
    });
});

test.each(["onCrash", "checkRefused"])("crashes are reported after %s has thrown", async name => {
    const { faults, reportFault } = createReport();
    const faultyStep = createFaultyStep(true);
    const crashes: string[] = [];
    const monitor = createCrashMonitor({
        reportFault,
        onCrash: incarnation => {
            if (name === "onCrash") {
                faultyStep.step();
            }
            crashes.push(incarnation);
        },
        checkRefused: async () => name === "onCrash" || faultyStep.step(),
    });
    const upstream = { id: "u", startedAt: 1, host: "127.0.0.1", port: 1 };
    const loss = { id: "r", parts: ["a"], ownPart: "r", knownCrashes: [] };
    faultyStep.isFaulty = true;
    monitor.recordLoss(upstream, loss);
    await advance(1000);
    faultyStep.isFaulty = false;
    monitor.recordLoss(upstream, loss);
    await advance(1000);
    expect({ crashes, isReported: faults.length > 0, uncaught }).toEqual({
        crashes: ["u@1"],
        isReported: true,
        uncaught: [],
    });
});
