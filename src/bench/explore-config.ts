/**
 * Random schedules of operators, snapshot writers, readers and retention over one stream of the log.
 * Drives the fold that every process runs. Left out: HTTP, time-outs, gossip.
 */
import { computeDigest } from "../config/digest.js";
import {
    createFoldState,
    createSnapshot,
    decidePromotion,
    foldBatch,
    type FoldState,
    type PromotionOutcome,
    type ReadBatch,
} from "../config/fold.js";
import type { PromoteRecord } from "../config/records.js";
import { createRandom, type Random } from "../core/random.js";
import type { LogRecord } from "../log/types.js";

/** The decisions under test; tests replace them by wrong ones. */
export interface FoldDecisions {
    fold: (state: FoldState, batch: ReadBatch) => FoldState;
    snapshot: typeof createSnapshot;
    decide: typeof decidePromotion;
}

const productionDecisions: FoldDecisions = { fold: foldBatch, snapshot: createSnapshot, decide: decidePromotion };
const environment = "production";
const stepCount = 120;
const readerCount = 6;
const operatorCount = 4;

interface Operator {
    reader: FoldState;
    promotion: PromoteRecord | undefined;
    /** Appends still to come: a lost answer makes the operator append again. */
    remainingAppends: number;
}

interface Schedule {
    random: Random;
    decisions: FoldDecisions;
    records: LogRecord[];
    oldestOffset: number;
    nextOffset: number;
    readers: FoldState[];
    operators: Operator[];
    /** Snapshots that were made and not yet appended. */
    pendingSnapshots: unknown[];
    promotions: PromoteRecord[];
    /** Promotions in the order of their first append. */
    appendedPromotions: PromoteRecord[];
    digestsByRevision: Map<number, string>;
    outcomesById: Map<string, PromotionOutcome>;
    violation: string | undefined;
}

type Step = (schedule: Schedule) => void;

const stepChoices: Step[] = [
    readRecords,
    readRecords,
    readRecords,
    createPromotion,
    createPromotion,
    appendPromotion,
    appendPromotion,
    appendPromotion,
    takeSnapshot,
    appendSnapshot,
    restartReader,
    truncateLog,
];

/** Runs the schedule of `seed`; returns the invariant that it broke, if any. */
export function runSchedule(seed: number, decisions: FoldDecisions = productionDecisions): string | undefined {
    const schedule = createSchedule(createRandom(seed), decisions);
    for (let step = 0; step < stepCount && schedule.violation === undefined; step++) {
        stepChoices[schedule.random.pickIndex(stepChoices.length)](schedule);
    }
    schedule.operators.forEach(operator => resolvePromotion(schedule, operator));
    schedule.readers.forEach((reader, index) => readToEnd(schedule, reader, index));
    checkAcceptedPromotions(schedule);
    return schedule.violation;
}

/** Runs schedules from `seed` on and returns those that broke an invariant. */
export async function exploreSchedules(
    runs: number,
    seed: number,
): Promise<{ runs: number; failures: { seed: number; what: string; }[]; }> {
    const failures: { seed: number; what: string; }[] = [];
    for (let run = 0; run < runs; run++) {
        const what = runSchedule(seed + run);
        if (what !== undefined) {
            failures.push({ seed: seed + run, what });
        }
    }
    return { runs, failures };
}

function createSchedule(random: Random, decisions: FoldDecisions): Schedule {
    const createReader = () => createFoldState(environment);
    return {
        random,
        decisions,
        records: [],
        oldestOffset: 0,
        nextOffset: 0,
        readers: Array.from({ length: readerCount }, createReader),
        operators: Array.from(
            { length: operatorCount },
            () => ({ reader: createReader(), promotion: undefined, remainingAppends: 0 }),
        ),
        pendingSnapshots: [],
        promotions: [],
        appendedPromotions: [],
        digestsByRevision: new Map(),
        outcomesById: new Map(),
        violation: undefined,
    };
}

function readBatch(schedule: Schedule, reader: FoldState, limit: number): ReadBatch {
    const records = schedule.records.filter(r => r.offset >= reader.next).slice(0, limit);
    const last = records.at(-1);
    const next = last === undefined ? Math.max(reader.next, schedule.oldestOffset) : last.offset + 1;
    return { records: structuredClone(records), oldest: schedule.oldestOffset, next };
}

function foldNextBatch(schedule: Schedule, reader: FoldState, limit: number): void {
    const before = reader.revision;
    schedule.decisions.fold(reader, readBatch(schedule, reader, limit));
    if (reader.revision < before) {
        schedule.violation ??= `a reader went back from revision ${before} to ${reader.revision}`;
    }
    checkReader(schedule, reader);
}

function checkReader(schedule: Schedule, reader: FoldState): void {
    if (reader.revision > 0) {
        const known = schedule.digestsByRevision.get(reader.revision) ?? reader.digest;
        schedule.digestsByRevision.set(reader.revision, known);
        if (known !== reader.digest || computeDigest(reader.document) !== reader.digest) {
            schedule.violation ??= `two documents at revision ${reader.revision}`;
        }
    }
    if (reader.conflicts > 0) {
        schedule.violation ??= "a reader counted a conflict";
    }
    schedule.promotions.forEach(promotion => {
        const verdict = schedule.decisions.decide(reader, promotion);
        const known = schedule.outcomesById.get(promotion.id) ?? verdict;
        if (verdict === undefined || known === undefined) {
            return;
        }
        schedule.outcomesById.set(promotion.id, known);
        if (JSON.stringify(known) !== JSON.stringify(verdict)) {
            schedule.violation ??= `two verdicts on ${promotion.id}`;
        }
    });
}

function appendRecord(schedule: Schedule, id: string, data: unknown): void {
    schedule.nextOffset += schedule.records.length === 0 && schedule.nextOffset === 0 ?
        0 :
        schedule.random.pickIndex(3);
    schedule.records.push({ offset: schedule.nextOffset, id, time: schedule.nextOffset, data });
    schedule.nextOffset += 1;
}

function readRecords(schedule: Schedule): void {
    const reader = schedule.readers[schedule.random.pickIndex(readerCount)];
    foldNextBatch(schedule, reader, 1 + schedule.random.pickIndex(5));
}

function createPromotion(schedule: Schedule): void {
    const { random } = schedule;
    const operator = schedule.operators[random.pickIndex(operatorCount)];
    if (operator.promotion !== undefined) {
        return;
    }
    foldNextBatch(schedule, operator.reader, schedule.records.length + 1);
    const { isComplete: anchored, revision: base, digest: baseDigest } = operator.reader;
    if (!anchored) {
        return;
    }
    const id = `promotion-${schedule.promotions.length + 1}`;
    const document = { name: id };
    const digest = computeDigest(document);
    operator.promotion = { kind: "promote", id, environment, base, baseDigest, author: id, digest, document };
    operator.remainingAppends = 1 + random.pickIndex(3);
    schedule.promotions.push(operator.promotion);
}

function appendPromotion(schedule: Schedule): void {
    const operator = schedule.operators[schedule.random.pickIndex(operatorCount)];
    if (operator.promotion === undefined) {
        return;
    }
    const { promotion } = operator;
    appendRecord(schedule, promotion.id, promotion);
    if (!schedule.appendedPromotions.includes(promotion)) {
        schedule.appendedPromotions.push(promotion);
    }
    operator.remainingAppends -= 1;
    if (operator.remainingAppends === 0) {
        resolvePromotion(schedule, operator);
    }
}

/** Lets an operator learn its verdict, as long as the log still tells. */
function resolvePromotion(schedule: Schedule, operator: Operator): void {
    const { promotion, reader } = operator;
    operator.promotion = undefined;
    foldNextBatch(schedule, reader, schedule.records.length + 1);
    if (promotion === undefined || !reader.isComplete || !schedule.appendedPromotions.includes(promotion)) {
        return;
    }
    if (schedule.decisions.decide(reader, promotion) === undefined) {
        schedule.violation ??= `no verdict on ${promotion.id}`;
    }
}

function takeSnapshot(schedule: Schedule): void {
    const reader = schedule.readers[schedule.random.pickIndex(readerCount)];
    const snapshot = schedule.decisions.snapshot(reader);
    if (snapshot !== undefined) {
        schedule.pendingSnapshots.push(structuredClone(snapshot));
    }
}

function appendSnapshot(schedule: Schedule): void {
    const index = schedule.random.pickIndex(schedule.pendingSnapshots.length);
    if (index < schedule.pendingSnapshots.length) {
        appendRecord(schedule, "snapshot", schedule.pendingSnapshots.splice(index, 1)[0]);
    }
}

function restartReader(schedule: Schedule): void {
    schedule.readers[schedule.random.pickIndex(readerCount)] = createFoldState(environment);
}

function truncateLog(schedule: Schedule): void {
    const dropped = schedule.random.pickIndex(Math.min(4, schedule.records.length + 1));
    schedule.records.splice(0, dropped);
    schedule.oldestOffset = schedule.records[0]?.offset ?? schedule.nextOffset;
}

function readToEnd(schedule: Schedule, reader: FoldState, index: number): void {
    foldNextBatch(schedule, reader, 1 + index);
    while (schedule.records.some(record => record.offset >= reader.next)) {
        foldNextBatch(schedule, reader, 1 + index);
    }
}

/** Checks that the first append for each base has won, and no other. */
function checkAcceptedPromotions(schedule: Schedule): void {
    const bases = new Map<number, string>();
    schedule.appendedPromotions.forEach(promotion => {
        const winner = bases.get(promotion.base) ?? promotion.id;
        bases.set(promotion.base, winner);
        const verdict = schedule.outcomesById.get(promotion.id);
        if (verdict !== undefined && verdict.accepted !== (winner === promotion.id)) {
            schedule.violation ??= `${promotion.id} from ${promotion.base} has the wrong verdict`;
        }
    });
}
