/** Streams that an entry took 3.0 to 3.2 s after its signal to stop were cut before the process had to end. */
import fc from "fast-check";
import { expect, test } from "vitest";
import { computeStopSchedule, isRequestTaken } from "../stopSchedule.js";

const bounds = fc.record({
    graceMs: fc.integer({ min: 100, max: 60_000 }),
    lastExcusedMs: fc.integer({ min: 0, max: 10_000 }),
});

test("for the bounds of the users' platform", () => {
    expect(computeStopSchedule({ graceMs: 8000, lastExcusedMs: 3000 })).toEqual({
        closeAtMs: 2850,
        interruptAtMs: 7850,
    });
});

test("closes before the last excused request and ends within the grace period, for any bounds", () => {
    fc.assert(
        fc.property(bounds, ({ graceMs, lastExcusedMs }) => {
            const { closeAtMs, interruptAtMs } = computeStopSchedule({ graceMs, lastExcusedMs });
            return closeAtMs >= 0 && closeAtMs <= lastExcusedMs && closeAtMs < interruptAtMs &&
                interruptAtMs < graceMs && graceMs - interruptAtMs <= Math.ceil(graceMs / 10);
        }),
        { seed: 5, numRuns: 1000 },
    );
});

test("takes no request after the close that may be at work when the requests left are ended, for any bounds", () => {
    const request = fc.record({ readAtMs: fc.nat(60_000), timeoutMs: fc.nat(60_000) });
    fc.assert(
        fc.property(bounds, request, (stopBounds, { readAtMs, timeoutMs }) => {
            const schedule = computeStopSchedule(stopBounds);
            const deadlineMs = readAtMs + timeoutMs;
            const isLate = readAtMs >= stopBounds.lastExcusedMs;
            return !isLate || !isRequestTaken(schedule, readAtMs, deadlineMs) || deadlineMs < stopBounds.graceMs;
        }),
        { seed: 5, numRuns: 1000 },
    );
});
