import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { ServingPool } from "../../config/serving.js";
import { createGroupTracker, updateGroupState } from "../../routing/groupTracker.js";
import { createUpstreamTracker, UpstreamAdmission } from "../../routing/upstreamTracker.js";
import type { DirectDispatch } from "../directDispatch.js";
import { createScheduler } from "../scheduler.js";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const pool = "group";

/** Creates a scheduler whose group was broken before from 0 to 3000 ms and has been broken again since 10,000 ms. */
function createBrokenGroup() {
    const groupTracker = createGroupTracker();
    let time = 10_000;
    const setGroup = (isOpen: boolean, epoch: number, observedAt: number) =>
        updateGroupState(groupTracker, pool, { isOpen, epoch, observedAt });
    setGroup(false, 1, 0);
    setGroup(true, 2, 3000);
    setGroup(false, 2, 10_000);
    const scheduler = createScheduler({
        upstreamTracker: createUpstreamTracker(),
        groupTracker,
        dataCentre: "a",
        now: () => time,
        random: () => 0,
        hasUpstreamRoom: () => true,
        findPool: () => ({ name: pool, engine: { slots: 8 } }) as ServingPool,
        drainMs: 2000,
        noticeRecorder: { listApplied: () => [] },
        reportFault: error => {
            throw error;
        },
        rateLimiter: {
            getAdmission: () => UpstreamAdmission.unlimited,
            takePermit: () => undefined,
            isPoolLimited: () => false,
            admitWaiting: () => undefined,
            listUnservable: () => [],
            requestPermits: () => undefined,
            listApplied: () => [],
        },
    });
    const expired: number[] = [];
    const place = (latestSendAt: number) => {
        const dispatch = {
            request: { pool },
            arrivalNumber: latestSendAt,
            urgency: 1,
            targetAt: 0,
            latestSendAt,
            rateLimits: [],
            needsRun: () => true,
            endIfQuarantined: () => false,
            expire: () => expired.push(latestSendAt),
        };
        scheduler.place(dispatch as unknown as DirectDispatch);
    };
    return {
        scheduler,
        place,
        expired,
        advance: (at: number) => {
            time = at;
            setGroup(false, 2, at);
            vi.advanceTimersByTime(100);
        },
    };
}

test("a request that cannot be sent before its broken group is expected to open is rejected at once", () => {
    const { place, expired } = createBrokenGroup();
    place(12_900);
    place(13_100);
    expect(expired).toEqual([12_900]);
});

test("a request waits on for a group that is broken for longer than before, until its latest send time", () => {
    const { place, expired, advance } = createBrokenGroup();
    advance(13_500);
    place(14_000);
    expect(expired).toEqual([]);
    advance(14_100);
    expect(expired).toEqual([14_000]);
});

test("a request that needs no run any more after a check is not ended, sent or queued", async () => {
    const { expired, scheduler } = createBrokenGroup();
    const dispatch = {
        request: { pool },
        latestSendAt: 0,
        needsRun: () => false,
        endIfQuarantined: () => expired.push(0) > 0,
        expire: () => expired.push(0),
    } as unknown as DirectDispatch;
    scheduler.placeAfter(dispatch, Promise.resolve());
    await vi.advanceTimersByTimeAsync(0);
    expect([expired, scheduler.listWaiting(pool)]).toEqual([[], []]);
});
