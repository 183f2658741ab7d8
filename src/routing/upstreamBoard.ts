/**
 * What an entry knows of upstreams on the direct path: shared figures with their age, its own requests since, and which
 * upstreams have just failed it. Entries do not ask each other; the figures are how they see each other's requests.
 */
import type { UpstreamRecord } from "../peers/mirror.js";

/** Figures of one upstream, as its slot or one of its answers told them. */
export interface UpstreamFigures {
    running: number;
    waiting: number;
    /** Time at which they held, in milliseconds. */
    at: number;
}

interface OwnRequest {
    sentAt: number;
    /** Undefined while the request is at the upstream. */
    endedAt: number | undefined;
}

export interface UpstreamView {
    record: UpstreamRecord;
    figures: UpstreamFigures | undefined;
    own: OwnRequest[];
    /** Failures since the last answer. */
    failures: number;
    /** Time until which the upstream is avoided, in milliseconds. */
    avoidedUntil: number;
    /** Whether another upstream answered at its address. */
    isGone: boolean;
}

export interface UpstreamBoard {
    views: Map<string, UpstreamView>;
}

/** Age up to which figures count, in milliseconds; the vector comes five times a second and may miss some. */
export const figuresMaxAgeMs = 1500;
/** Time for which ended requests are kept, in milliseconds; figures older than this do not count. */
const ownHistoryMs = figuresMaxAgeMs;
/** First time for which a failing upstream is avoided, in milliseconds; doubles with each further failure. */
const firstAvoidMs = 400;
/** Longest time for which a failing upstream is avoided, in milliseconds. */
const maxAvoidMs = 4000;

/** Creates an empty board. */
export function createUpstreamBoard(): UpstreamBoard {
    return { views: new Map() };
}

/** Replaces the set of upstreams; what is known of those that stay is kept. */
export function setUpstreams(board: UpstreamBoard, records: UpstreamRecord[]): void {
    const views = new Map<string, UpstreamView>();
    for (const record of records) {
        const view = board.views.get(record.id);
        // An upstream that started again under its id holds nothing of before.
        const known = view?.record.startedAt === record.startedAt ? view : undefined;
        if (known !== undefined) {
            known.record = record;
        }
        views.set(
            record.id,
            known ?? { record, figures: undefined, own: [], failures: 0, avoidedUntil: 0, isGone: false },
        );
    }
    board.views = views;
}

/** Finds the upstreams that are the ranks of a pool's group; of two with one rank, the one that was started later. */
export function findRanks(board: UpstreamBoard, pool: string): Map<number, string> {
    const ranks = new Map<number, string>();
    for (const [id, { record }] of board.views) {
        if (record.pool === pool && record.rank !== undefined) {
            const other = board.views.get(ranks.get(record.rank) ?? "")?.record;
            if (other === undefined || (record.startedAt ?? 0) >= (other.startedAt ?? 0)) {
                ranks.set(record.rank, id);
            }
        }
    }
    return ranks;
}

/** Takes in figures; older ones than known are dropped. */
export function noteFigures(board: UpstreamBoard, id: string, figures: UpstreamFigures): void {
    const view = board.views.get(id);
    if (view !== undefined && (view.figures === undefined || view.figures.at < figures.at)) {
        view.figures = figures;
    }
}

/** Notes a request that is sent; the result ends it. */
export function noteOwnSent(board: UpstreamBoard, id: string, now: number): (endedAt: number) => void {
    const view = board.views.get(id);
    const own: OwnRequest = { sentAt: now, endedAt: undefined };
    if (view !== undefined) {
        view.own = view.own.filter(({ endedAt }) => endedAt === undefined || endedAt > now - ownHistoryMs);
        view.own.push(own);
    }
    return endedAt => own.endedAt = endedAt;
}

/** Notes that an upstream answered. */
export function noteAnswered(board: UpstreamBoard, id: string): void {
    const view = board.views.get(id);
    if (view !== undefined) {
        view.failures = 0;
        view.avoidedUntil = 0;
    }
}

/** Notes that an upstream failed a request; it is avoided for a while. */
export function noteFailed(board: UpstreamBoard, id: string, now: number): void {
    const view = board.views.get(id);
    if (view !== undefined) {
        view.avoidedUntil = now + Math.min(maxAvoidMs, firstAvoidMs * 2 ** view.failures);
        view.failures += 1;
    }
}

/** Notes that another upstream has the address; this one is gone, and only its record is left. */
export function noteMisdirected(board: UpstreamBoard, id: string): void {
    const view = board.views.get(id);
    if (view !== undefined) {
        view.isGone = true;
    }
}

/** Counts this entry's requests at an upstream. */
export function countOwn(view: UpstreamView): number {
    return view.own.reduce((count, { endedAt }) => count + Number(endedAt === undefined), 0);
}

/** Estimates the requests that run or wait at an upstream, from figures and this entry's requests since. */
export function estimateRequests(view: UpstreamView, now: number): number {
    const { figures, own } = view;
    if (figures === undefined || now - figures.at > figuresMaxAgeMs) {
        return countOwn(view);
    }
    const since = own.reduce((sum, { sentAt, endedAt }) => {
        const isCounted = sentAt <= figures.at;
        const hasEnded = endedAt !== undefined && endedAt > figures.at;
        return sum + (isCounted ? -Number(hasEnded) : Number(endedAt === undefined));
    }, 0);
    return Math.max(countOwn(view), figures.running + figures.waiting + since);
}
