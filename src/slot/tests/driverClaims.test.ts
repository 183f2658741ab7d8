import { afterEach, beforeEach, expect, it, vi } from "vitest";
import type { LogClient, LogRecord } from "../../log/types.js";
import { createClaimState, safeParseIdempotencyKey } from "../claims.js";
import { type ClaimRelay, createClaimsDriver } from "../driverClaims.js";

const now = 1_760_000_030_000;
const parsed = safeParseIdempotencyKey("w", "0199c82c-c930-7abc-8abc-0123456789ab", now);
const key = parsed.success ? parsed.key : expect.unreachable();
const localRelay: ClaimRelay = { findAppenderUrl: () => undefined, send: () => expect.unreachable() };
const unreachableRelay: ClaimRelay = {
    findAppenderUrl: (stream, avoided) => avoided.size === 0 ? "http://gone" : undefined,
    send: () => Promise.reject(new Error("unreachable")),
};

beforeEach(() => void vi.useFakeTimers({ now }));

afterEach(() => void vi.useRealTimers());

function createLog(): LogClient & { records: LogRecord[]; } {
    const records: LogRecord[] = [];
    return {
        records,
        append: async (stream, added) => {
            added.forEach(record => records.push({ ...record, offset: records.length, time: Date.now() }));
            return records.length - 1;
        },
        read: async (stream, from) => ({ records: records.slice(from), next: records.length, oldest: 0 }),
    };
}

function claim(log: LogClient, claimant: string, relay = localRelay): Promise<string> {
    return createClaimsDriver(log, "trial", createClaimState(claimant), relay).submit({
        claimant,
        key,
        release: false,
    });
}

const rejectCall = () => Promise.reject(new Error("down"));
const neverSettle = () => new Promise<never>(() => undefined);

it.each([
    { name: "the first claim", change: {}, verdict: "won" },
    { name: "a claim whose answer is lost", change: { loseAnswer: true }, verdict: "won" },
    { name: "a claim whose connection goes silent", change: { silent: true }, verdict: "won" },
    { name: "a claim that the log refuses", change: { append: rejectCall }, verdict: "failed" },
    { name: "a claim while reads fail", change: { read: rejectCall }, verdict: "failed" },
    { name: "a claim while the log is silent", change: { append: neverSettle }, verdict: "failed" },
    { name: "a claim whose appender can't be reached", change: {}, relay: unreachableRelay, verdict: "won" },
    { name: "a claim after another's", change: {}, earlier: "i0", verdict: "lost" },
])("settles $name as $verdict", async ({ change, relay, earlier, verdict }) => {
    const log = createLog();
    const { append } = log;
    if ("silent" in change) {
        log.append = (stream, records) => append(stream, records).then(neverSettle);
    }
    if ("loseAnswer" in change) {
        log.append = (stream, records) => append(stream, records).then(rejectCall);
    }
    const settled = earlier === undefined ? Promise.resolve("") : claim(log, earlier);
    await vi.advanceTimersByTimeAsync(100);
    await settled;
    const result = claim({ ...log, ...change }, "i1", relay);
    await vi.advanceTimersByTimeAsync(1000);
    expect(await result).toBe(verdict);
});
