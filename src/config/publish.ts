/** Puts documents into the configuration stream and learns the verdict on them. */
import { CallError } from "../core/errors.js";
import { computeBackoffMs } from "../log/backoff.js";
import type { LogClient } from "../log/types.js";
import { computeDigest } from "./digest.js";
import { createFoldState, decidePromotion, foldBatch, type FoldState, type PromotionOutcome } from "./fold.js";
import { configStream, type PromoteRecord } from "./records.js";

const maxTries = 6;

export interface Promotion {
    id: string;
    environment: string;
    /** State that the change was made from. */
    base: { revision: number; digest: string; };
    author: string;
    document: unknown;
}

export class ConfigPublisher {
    /** `onRetry` hears of each failure that is retried. */
    constructor(
        private readonly log: LogClient,
        private readonly onRetry: (error: Error) => void = () => undefined,
    ) {}

    /** Reads the configuration of an environment up to the stream's end; throws a `CallError` when it is not known. */
    async read(environment: string): Promise<FoldState> {
        const state = await this.retry("the log cannot be read", () => this.readOnce(environment));
        if (!state.isComplete) {
            throw new CallError("the log has dropped records and holds no snapshot yet; try again in a minute");
        }
        return state;
    }

    /** Appends a promotion and returns its verdict. A lost answer is settled by reading back. */
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
        const before = decidePromotion(await this.readOnce(record.environment), record);
        if (before !== undefined) {
            return before;
        }
        await this.log.append(configStream, [{ id: record.id, data: record }]);
        const after = decidePromotion(await this.readOnce(record.environment), record);
        if (after === undefined) {
            throw new CallError("the log holds no verdict on the document");
        }
        return after;
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

    private async retry<T>(failure: string, task: () => Promise<T>): Promise<T> {
        for (let failures = 1;; failures++) {
            try {
                return await task();
            }
            catch (error) {
                if (failures === maxTries) {
                    throw new CallError(failure, { cause: error });
                }
                this.onRetry(error as Error);
                await new Promise(resolve => setTimeout(resolve, computeBackoffMs(failures, Math.random())));
            }
        }
    }
}
