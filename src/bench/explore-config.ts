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

const rightDecisions: FoldDecisions = { fold: foldBatch, snapshot: createSnapshot, decide: decidePromotion };
const environment = "production";
const steps = 120;
const readers = 6;
const operators = 4;

interface Operator {
    reader: FoldState;
    promotion: PromoteRecord | undefined;
    /** Appends still to come: a lost answer makes the operator append again. */
    appends: number;
}

interface Schedule {
    random: Random;
    decisions: FoldDecisions;
    records: LogRecord[];
    oldest: number;
    next: number;
    readers: FoldState[];
    operators: Operator[];
    /** Snapshots that were made and not yet appended. */
    pending: unknown[];
    promotions: PromoteRecord[];
    /** Promotions in the order of their first append. */
    appended: PromoteRecord[];
    digests: Map<number, string>;
    verdicts: Map<string, PromotionOutcome>;
    broken: string | undefined;
}

type Step = (schedule: Schedule) => void;

const stepTable: Step[] = [
    readSome,
    readSome,
    readSome,
    createPromotion,
    createPromotion,
    appendPromotion,
    appendPromotion,
    appendPromotion,
    makeSnapshot,
    appendSnapshot,
    replaceReader,
    cutLog,
];

/** Runs the schedule of `seed`; returns the invariant that it broke, if any. */
export function runSchedule(seed: number, decisions: FoldDecisions = rightDecisions): string | undefined {
    const schedule = createSchedule(createRandom(seed), decisions);
    for (let step = 0; step < steps && schedule.broken === undefined; step++) {
        stepTable[schedule.random.pickIndex(stepTable.length)](schedule);
    }
    schedule.operators.forEach(operator => finishOperator(schedule, operator));
    schedule.readers.forEach((reader, index) => readAll(schedule, reader, index));
    checkWinners(schedule);
    return schedule.broken;
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
        oldest: 0,
        next: 0,
        readers: Array.from({ length: readers }, createReader),
        operators: Array.from(
            { length: operators },
            () => ({ reader: createReader(), promotion: undefined, appends: 0 }),
        ),
        pending: [],
        promotions: [],
        appended: [],
        digests: new Map(),
        verdicts: new Map(),
        broken: undefined,
    };
}

function readBatch(schedule: Schedule, reader: FoldState, limit: number): ReadBatch {
    const records = schedule.records.filter(r => r.offset >= reader.next).slice(0, limit);
    const last = records.at(-1);
    const next = last === undefined ? Math.max(reader.next, schedule.oldest) : last.offset + 1;
    return { records: structuredClone(records), oldest: schedule.oldest, next };
}

function advanceReader(schedule: Schedule, reader: FoldState, limit: number): void {
    const before = reader.revision;
    schedule.decisions.fold(reader, readBatch(schedule, reader, limit));
    if (reader.revision < before) {
        schedule.broken ??= `a reader went back from revision ${before} to ${reader.revision}`;
    }
    checkReader(schedule, reader);
}

function checkReader(schedule: Schedule, reader: FoldState): void {
    if (reader.revision > 0) {
        const known = schedule.digests.get(reader.revision) ?? reader.digest;
        schedule.digests.set(reader.revision, known);
        if (known !== reader.digest || computeDigest(reader.document) !== reader.digest) {
            schedule.broken ??= `two documents at revision ${reader.revision}`;
        }
    }
    if (reader.conflicts > 0) {
        schedule.broken ??= "a reader counted a conflict";
    }
    schedule.promotions.forEach(promotion => {
        const verdict = schedule.decisions.decide(reader, promotion);
        const known = schedule.verdicts.get(promotion.id) ?? verdict;
        if (verdict === undefined || known === undefined) {
            return;
        }
        schedule.verdicts.set(promotion.id, known);
        if (JSON.stringify(known) !== JSON.stringify(verdict)) {
            schedule.broken ??= `two verdicts on ${promotion.id}`;
        }
    });
}

function append(schedule: Schedule, id: string, data: unknown): void {
    schedule.next += schedule.records.length === 0 && schedule.next === 0 ? 0 : schedule.random.pickIndex(3);
    schedule.records.push({ offset: schedule.next, id, time: schedule.next, data });
    schedule.next += 1;
}

function readSome(schedule: Schedule): void {
    const reader = schedule.readers[schedule.random.pickIndex(readers)];
    advanceReader(schedule, reader, 1 + schedule.random.pickIndex(5));
}

function createPromotion(schedule: Schedule): void {
    const { random } = schedule;
    const operator = schedule.operators[random.pickIndex(operators)];
    if (operator.promotion !== undefined) {
        return;
    }
    advanceReader(schedule, operator.reader, schedule.records.length + 1);
    const { isComplete: anchored, revision: base, digest: baseDigest } = operator.reader;
    if (!anchored) {
        return;
    }
    const id = `promotion-${schedule.promotions.length + 1}`;
    const document = { name: id };
    const digest = computeDigest(document);
    operator.promotion = { kind: "promote", id, environment, base, baseDigest, author: id, digest, document };
    operator.appends = 1 + random.pickIndex(3);
    schedule.promotions.push(operator.promotion);
}

function appendPromotion(schedule: Schedule): void {
    const operator = schedule.operators[schedule.random.pickIndex(operators)];
    if (operator.promotion === undefined) {
        return;
    }
    const { promotion } = operator;
    append(schedule, promotion.id, promotion);
    if (!schedule.appended.includes(promotion)) {
        schedule.appended.push(promotion);
    }
    operator.appends -= 1;
    if (operator.appends === 0) {
        finishOperator(schedule, operator);
    }
}

/** Lets an operator learn its verdict, as long as the log still tells. */
function finishOperator(schedule: Schedule, operator: Operator): void {
    const { promotion, reader } = operator;
    operator.promotion = undefined;
    advanceReader(schedule, reader, schedule.records.length + 1);
    if (promotion === undefined || !reader.isComplete || !schedule.appended.includes(promotion)) {
        return;
    }
    if (schedule.decisions.decide(reader, promotion) === undefined) {
        schedule.broken ??= `no verdict on ${promotion.id}`;
    }
}

function makeSnapshot(schedule: Schedule): void {
    const reader = schedule.readers[schedule.random.pickIndex(readers)];
    const snapshot = schedule.decisions.snapshot(reader);
    if (snapshot !== undefined) {
        schedule.pending.push(structuredClone(snapshot));
    }
}

function appendSnapshot(schedule: Schedule): void {
    const index = schedule.random.pickIndex(schedule.pending.length);
    if (index < schedule.pending.length) {
        append(schedule, "snapshot", schedule.pending.splice(index, 1)[0]);
    }
}

function replaceReader(schedule: Schedule): void {
    schedule.readers[schedule.random.pickIndex(readers)] = createFoldState(environment);
}

function cutLog(schedule: Schedule): void {
    const dropped = schedule.random.pickIndex(Math.min(4, schedule.records.length + 1));
    schedule.records.splice(0, dropped);
    schedule.oldest = schedule.records[0]?.offset ?? schedule.next;
}

function readAll(schedule: Schedule, reader: FoldState, index: number): void {
    advanceReader(schedule, reader, 1 + index);
    while (schedule.records.some(record => record.offset >= reader.next)) {
        advanceReader(schedule, reader, 1 + index);
    }
}

/** Checks that the first append for each base has won, and no other. */
function checkWinners(schedule: Schedule): void {
    const bases = new Map<number, string>();
    schedule.appended.forEach(promotion => {
        const winner = bases.get(promotion.base) ?? promotion.id;
        bases.set(promotion.base, winner);
        const verdict = schedule.verdicts.get(promotion.id);
        if (verdict !== undefined && verdict.accepted !== (winner === promotion.id)) {
            schedule.broken ??= `${promotion.id} from ${promotion.base} has the wrong verdict`;
        }
    });
}
