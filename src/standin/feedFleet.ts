/** Processes that mirror one log, each with a feed of its own, for random schedules of outages, restarts and late responses. */
import { CallError } from "../core/errors.js";
import type { Random } from "../core/random.js";
import { computeLogPositions, recordPeerPositions } from "../direct/logPositions.js";
import { createTransitDelays, type TransitDelays } from "../direct/transitDelay.js";
import { createFeed, type Feed, type FeedSource, FeedTopic } from "../peers/feed.js";
import { createHandOver, createHandOverParams, decodeHandOver } from "../peers/handOver.js";
import { createLogPosition, getEra, getOffset } from "../peers/logPosition.js";
import { entryFeedTiming, heartbeatIntervalMs, slotFeedTiming } from "../peers/pacing.js";
import { feedDecoders } from "./feedDecoders.js";

/** Timeout of a call beyond the time that it waits for records, in milliseconds. */
const responseMarginMs = 700;
/** Maximum delay of a response, in milliseconds; longer than the pause between two reads. */
const maxDelayMs = 600;
/** Time from a return of the log until lost records are written again, in milliseconds; the random part is on top. */
export const rewriteMs = { least: 100, random: 900 };

const logger = { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined };
const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

interface ModelRecord {
    key: string;
    value: string | undefined;
    appendedAt: number;
}

/** Log of the model; `now` is in milliseconds. */
export interface ModelLog {
    getEra: () => number;
    isAway: () => boolean;
    topics: Record<FeedTopic, ModelRecord[]>;
    /** Topics of which all reads are rejected at once. */
    downTopics: Set<FeedTopic>;
    /** Writes a record, or a tombstone if there is no value, once the log is not away. */
    write: (topic: FeedTopic, key: string, value: string | undefined) => Promise<void>;
    /** Returns from a copy of `ageMs` ago after it was away; its writers write again what it has lost. */
    restore: (ageMs: number, awayMs: number) => Promise<void>;
}

/** Creates a log that returns from older copies; its writers write again what it has lost. */
export function createModelLog(random: Random, firstEra: number, now: () => number): ModelLog {
    const topics: Record<FeedTopic, ModelRecord[]> = { document: [], list: [], quarantine: [] };
    /** What the operators and the servers have written last, by topic and key. */
    const written = new Map<string, { topic: FeedTopic; key: string; value: string | undefined; }>();
    let era = firstEra;
    let awayUntil = 0;
    const append = (topic: FeedTopic, key: string, value: string | undefined) =>
        topics[topic].push({ key, value, appendedAt: now() });
    const rewrite = () =>
        written.forEach(({ topic, key, value }) => {
            const known = topics[topic].findLast(record => record.key === key);
            if (known?.value !== value) {
                append(topic, key, value);
            }
        });
    return {
        getEra: () => era,
        isAway: () => now() < awayUntil,
        topics,
        downTopics: new Set(),
        write: async (topic, key, value) => {
            written.set(`${topic}/${key}`, { topic, key, value });
            await wait(Math.max(0, awayUntil - now()));
            // A later write of the key has the final say.
            append(topic, key, written.get(`${topic}/${key}`)!.value);
        },
        restore: async (ageMs, awayMs) => {
            const copiedAt = now() - ageMs;
            awayUntil = Math.max(awayUntil, now() + awayMs);
            await wait(awayMs);
            era += 1 + Math.floor(random.next() * 3);
            for (const topic of Object.values(FeedTopic)) {
                topics[topic] = topics[topic].filter(({ appendedAt }) => appendedAt <= copiedAt);
            }
            await wait(rewriteMs.least + random.next() * rewriteMs.random);
            rewrite();
        },
    };
}

/** Returns the newest records of a topic that have a value, by key, with their offsets. */
export function readModelTopic(records: ModelRecord[]): Map<string, { key: string; value: string; offset: number; }> {
    const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
    return new Map(
        [...newest].flatMap(([key, { value, offset }]) => value === undefined ? [] : [[key, { key, value, offset }]]),
    );
}

/** Reads of one process, whose responses come late and may overtake one another. */
function createSource(
    log: ModelLog,
    random: Random,
    now: () => number,
    isUnreadable: (topic: FeedTopic) => boolean,
    readTimes: number[],
): FeedSource {
    const respond = async <T>(topic: FeedTopic, compute: () => T): Promise<T> => {
        readTimes.push(now());
        if (log.downTopics.has(topic)) {
            throw new CallError("unavailable");
        }
        if (isUnreadable(topic) || log.isAway()) {
            await wait(responseMarginMs);
            throw new CallError("timed out");
        }
        const result = compute();
        await wait(random.next() < 0.2 ? random.next() * maxDelayMs : 4);
        if (isUnreadable(topic)) {
            throw new CallError("failed during the response");
        }
        return result;
    };
    let highestEra = 0;
    const acceptEra = (era: number) => {
        if (era < highestEra) {
            throw new CallError("an older era");
        }
        highestEra = era;
    };
    return {
        readNewest: async topic => {
            const { era, records } = await respond(
                topic,
                () => ({ era: log.getEra(), records: [...log.topics[topic]] }),
            );
            acceptEra(era);
            return {
                records: [...readModelTopic(records).values()].map(record => ({
                    ...record,
                    offset: createLogPosition(era, record.offset),
                })),
                end: createLogPosition(era, records.length),
                isComplete: true,
            };
        },
        read: async (topic, from, waitMs) => {
            const startedAt = now();
            const offset = getOffset(from);
            const isIdle = () => log.topics[topic].length === offset && !log.isAway() && !isUnreadable(topic);
            while (isIdle() && now() - startedAt < waitMs) {
                await wait(20);
            }
            const { era, records } = await respond(
                topic,
                () => ({ era: log.getEra(), records: [...log.topics[topic]] }),
            );
            acceptEra(era);
            if (era !== getEra(from) || offset > records.length) {
                return undefined;
            }
            const batch = records.slice(offset).map(({ key, value }, index) => ({ key, value, offset: from + index }));
            return { records: batch, end: from + batch.length, isComplete: false };
        },
    };
}

/** Process of the model. */
export interface ModelProcess {
    feed: Feed;
    delays: TransitDelays;
    /** Whether the process cannot reach the log. */
    isCut: boolean;
    /** Revisions of the documents that came into force, in order. */
    revisions: number[];
    /** Values of the quarantine as the feed has told of them, by key. */
    quarantine: Map<string, string>;
    /** Times of the reads, in milliseconds. */
    readTimes: number[];
}

export interface FeedFleetOptions {
    log: ModelLog;
    random: Random;
    now: () => number;
    processCount: number;
    /** Whether the processes follow the quarantine. */
    followsQuarantine: boolean;
}

export interface FeedFleet {
    processes: ModelProcess[];
    /** Replaces a process by one with an empty mirror. */
    restart: (index: number) => void;
    stop: () => void;
}

/** Starts processes that hand over records to each other; the first one reads continuously and sends heartbeats. */
export function startFeedFleet({ log, random, now, processCount, followsQuarantine }: FeedFleetOptions): FeedFleet {
    const processes: ModelProcess[] = [];
    const start = (index: number): ModelProcess => {
        const readTimes: number[] = [];
        const revisions: number[] = [];
        const quarantine = new Map<string, string>();
        const isUnreadable = (topic: FeedTopic) => process.isCut || log.downTopics.has(topic);
        const process: ModelProcess = {
            delays: createTransitDelays(now),
            isCut: processes[index]?.isCut ?? false,
            revisions,
            quarantine,
            readTimes,
            feed: createFeed({
                source: createSource(log, random, now, isUnreadable, readTimes),
                decoders: feedDecoders,
                now,
                random: () => random.next(),
                logger,
                reportFault: error => {
                    throw error;
                },
                fetchFromPeer: async (documentEnd, listEnd, quarantineEnd) => {
                    const others = processes.filter(other => other !== process);
                    const peer = others[random.pickIndex(others.length)];
                    const params = createHandOverParams(documentEnd, listEnd, quarantineEnd);
                    await wait(random.next() * maxDelayMs / 2);
                    return decodeHandOver(createHandOver(peer.feed, params, now()));
                },
                onDocument: ({ revision }) => revisions.push(revision),
                onList: () => undefined,
                onQuarantine: followsQuarantine ?
                    records =>
                        records.forEach(({ key, value }) =>
                            value === undefined ? quarantine.delete(key) : quarantine.set(key, value)
                        ) :
                    undefined,
                timing: index < processCount / 2 ? slotFeedTiming : entryFeedTiming,
                isContinuousReader: () => index === 0,
            }),
        };
        process.feed.start();
        return process;
    };
    for (let index = 0; index < processCount; index++) {
        processes.push(start(index));
    }
    const timer = setInterval(() => {
        const positions = computeLogPositions(processes[0].feed, now());
        processes.slice(1).forEach(({ feed, delays }) => recordPeerPositions(feed, positions, "leader", delays));
    }, heartbeatIntervalMs);
    return {
        processes,
        restart: index => {
            processes[index].feed.stop();
            processes[index] = start(index);
        },
        stop: () => {
            clearInterval(timer);
            processes.forEach(({ feed }) => feed.stop());
        },
    };
}
