/**
 * Random schedules over several processes in which each topic of the log fails alone: feeds read snapshots and records late,
 * hand over to each other and restart, while upstreams leave the list and operators lift quarantines.
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createRandom } from "../../core/random.js";
import { FeedTopic } from "../../peers/feed.js";
import { listUpstreams } from "../../peers/mirror.js";
import { createModelLog, readModelTopic, startFeedFleet } from "../../standin/feedFleet.js";

beforeEach(() => {
    vi.useFakeTimers();
    clock.startedAt = performance.now();
});
afterEach(() => {
    vi.useRealTimers();
});

/** Time from the end of all outages until all processes must have the state of the log, in milliseconds. */
const settleBoundMs = 6000;
/** Maximum pause between two events, in milliseconds. */
const maxPauseMs = 800;
const processCount = 4;
const eventCount = 40;
/** Number of schedules; a mirror that brings records back does so in about one of a hundred. */
const scheduleCount = 400;
const clock = { startedAt: 0 };
const now = () => Math.round(performance.now() - clock.startedAt);

/** Plays random events, then waits until everything must have settled. Returns how processes differ from the log. */
async function playSchedule(seed: number): Promise<string[]> {
    const random = createRandom(seed);
    const log = createModelLog(random, 0, now);
    const fleet = startFeedFleet({ log, random, now, processCount, followsQuarantine: true });
    let revision = 0;
    const writeDocument = () => {
        revision += 1;
        void log.write(FeedTopic.document, "config", String(revision));
    };
    const serverStates = [undefined, "ready", "ready", "leaving"];
    const pickServer = () => `server-${random.pickIndex(5)}`;
    const pickPart = () => `crash/part-${random.pickIndex(5)}`;
    const pickTopic = () => Object.values(FeedTopic)[random.pickIndex(3)];
    const setDown = (topic: FeedTopic) => log.downTopics.add(topic);
    const events = [
        writeDocument,
        () => void log.write(FeedTopic.list, pickServer(), serverStates[random.pickIndex(serverStates.length)]),
        () => void log.write(FeedTopic.list, pickServer(), undefined),
        () => void log.write(FeedTopic.quarantine, pickPart(), `report-${random.pickIndex(3)}`),
        () => void log.write(FeedTopic.quarantine, pickPart(), undefined),
        () => void setDown(pickTopic()),
        () => log.downTopics.clear(),
        () => void (fleet.processes[random.pickIndex(processCount)].isCut = true),
        () => fleet.processes.forEach(process => process.isCut = false),
        () => fleet.restart(random.pickIndex(processCount)),
    ];
    for (let index = 0; index < eventCount; index++) {
        events[random.pickIndex(events.length)]();
        await vi.advanceTimersByTimeAsync(random.next() * maxPauseMs);
    }
    log.downTopics.clear();
    fleet.processes.forEach(process => process.isCut = false);
    writeDocument();
    await vi.advanceTimersByTimeAsync(settleBoundMs);
    fleet.stop();
    const expected = describeState(
        String(revision),
        readModelTopic(log.topics.list),
        [...readModelTopic(log.topics.quarantine)].map(([key, { value }]) => `${key} ${value}`),
    );
    return fleet.processes.flatMap(({ feed, quarantine }, index) => {
        const upstreams = listUpstreams(feed.state).map(({ id, isLeaving }) =>
            [id, { value: isLeaving ? "leaving" : "ready" }] as const
        );
        const actual = describeState(
            String(feed.state.document?.revision),
            new Map(upstreams),
            [...quarantine].map(([key, value]) => `${key} ${value}`),
        );
        return actual === expected ? [] : [`process ${index} has ${actual} instead of ${expected}`];
    });
}

function describeState(revision: string, servers: Map<string, { value: string; }>, quarantine: string[]): string {
    const list = [...servers].map(([id, { value }]) => `${id} ${value}`);
    return [`revision ${revision}`, ...list.sort(), ...quarantine.sort()].join(", ");
}

// Guards against a peer's or a late response's older record that brings back what the log has deleted (DRAIN, sound requests
// rejected for good).
test.each(Array.from({ length: scheduleCount }, (ignored, index) => index + 1))(
    "processes end in the state of a log whose topics fail alone, seed %i",
    async seed => {
        expect((await playSchedule(seed)).join("\n")).toBe("");
    },
);
