/** Puts documents into the configuration stream and learns the verdict on them. */
import { CallError } from "../core/errors.js";
import type { LogClient } from "../log/types.js";
import {
    type ConfigRecord,
    type ConfigState,
    configStream,
    createConfigState,
    foldConfig,
    type PromoteRecord,
    type Verdict,
} from "./fold.js";

const maxTries = 5;
const retryMs = 200;

export class ConfigPublisher {
    constructor(private readonly log: LogClient) {}

    /** Reads the configuration of an environment up to the stream's end. */
    async read(environment: string): Promise<ConfigState> {
        let state = createConfigState(environment);
        for (let from = 0;;) {
            const result = await this.log.read(configStream, from, 0);
            if (result.records.length === 0) {
                return state;
            }
            state = result.records.reduce((folded, record) => foldConfig(folded, record.data as ConfigRecord), state);
            from = result.next;
        }
    }

    /** Appends a promotion and returns its verdict. A lost answer is settled by reading back. */
    async promote(record: PromoteRecord): Promise<Verdict> {
        let failure: unknown;
        for (let tries = 0; tries < maxTries; tries++) {
            try {
                const known = (await this.read(record.environment)).verdicts.get(record.id);
                if (known !== undefined) {
                    return known;
                }
                await this.log.append(configStream, [{ id: record.id, data: record }]);
            }
            catch (error) {
                failure = error;
                await new Promise(resolve => setTimeout(resolve, retryMs * 2 ** tries));
            }
        }
        const verdict = (await this.read(record.environment)).verdicts.get(record.id);
        if (verdict === undefined) {
            throw new CallError("whether the document was accepted is unknown, since the log cannot be reached", {
                cause: failure,
            });
        }
        return verdict;
    }
}
