/**
 * Appends promotions (requests to make a document the next revision of the configuration) to the configuration stream
 * and reads back their outcome.
 */
import { CallError } from "../core/errors.js";
import { computeBackoffMs } from "../log/backoff.js";
import type { LogClient } from "../log/types.js";
import { computeDigest } from "./digest.js";
import { createFoldState, decidePromotion, foldBatch, type FoldState, type PromotionOutcome } from "./fold.js";
import { configStream, type PromoteRecord } from "./records.js";

const maxAttempts = 6;

/** A document to promote to an environment. */
export interface Promotion {
    /** Unique id; promoting again with the same id is idempotent. */
    id: string;
    environment: string;
    /** Revision that the document was derived from. */
    base: { revision: number; digest: string; };
    author: string;
    document: unknown;
}

/** Reads and promotes configuration documents through the log, with retries. */
export class ConfigPublisher {
    /** Calls `onRetry` with each error before it retries. */
    constructor(
        private readonly log: LogClient,
        private readonly onRetry: (error: Error) => void = () => undefined,
    ) {}

    /**
     * Reads the configuration of an environment up to the end of the stream. Throws a `CallError` if the log cannot be
     * read, or if it was truncated and holds no snapshot to start from.
     */
    async read(environment: string): Promise<FoldState> {
        const state = await this.retry("the log cannot be read", () => this.readOnce(environment));
        if (!state.isComplete) {
            throw new CallError("the log has dropped records and holds no snapshot yet; try again in a minute");
        }
        return state;
    }

    /**
     * Appends a promotion and returns its outcome. If the response to the append is lost, the outcome is read back from
     * the log before another append. Throws a `CallError` if the log keeps failing, so that the outcome is unknown.
     */
    async promote(promotion: Promotion): Promise<PromotionOutcome> {
        const { id, environment, base, author, document } = promotion;
        const record: PromoteRecord = {
            kind: "promote",
            id,
            environment,
            base: base.revision,
            baseDigest: base.digest,
            author,
            digest: computeDigest(document),
            document,
        };
        const failure = "whether the document was accepted is unknown, since the log fails";
        return this.retry(failure, () => this.promoteOnce(record));
    }

    private async promoteOnce(record: PromoteRecord): Promise<PromotionOutcome> {
        const earlierOutcome = decidePromotion(await this.readOnce(record.environment), record);
        if (earlierOutcome !== undefined) {
            return earlierOutcome;
        }
        await this.log.append(configStream, [{ id: record.id, data: record }]);
        const outcome = decidePromotion(await this.readOnce(record.environment), record);
        if (outcome === undefined) {
            throw new CallError("the log holds no verdict on the document");
        }
        return outcome;
    }

    private async readOnce(environment: string): Promise<FoldState> {
        const state = createFoldState(environment);
        for (;;) {
            const batch = await this.log.read(configStream, state.next, 0);
            foldBatch(state, batch);
            if (batch.records.length === 0) {
                return state;
            }
        }
    }

    /** Retries `task` with backoff; throws a `CallError` with message `failure` after the last attempt. */
    private async retry<T>(failure: string, task: () => Promise<T>): Promise<T> {
        for (let failures = 1;; failures++) {
            try {
                return await task();
            }
            catch (error) {
                if (failures === maxAttempts) {
                    throw new CallError(failure, { cause: error });
                }
                this.onRetry(error as Error);
                await new Promise(resolve => setTimeout(resolve, computeBackoffMs(failures, Math.random())));
            }
        }
    }
}
