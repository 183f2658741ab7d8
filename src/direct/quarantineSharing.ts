/**
 * Shares quarantine records with the other processes: appends them to the log and, while that fails, sends them to peers,
 * which do the same. A record counts for this process at once.
 */
import { containFaults, type FaultReporter } from "../observe/faults.js";
import type { KeyedRecord } from "../routing/quarantine.js";

/** Record that the log has not accepted yet. */
export interface PendingRecord {
    key: string;
    /** Undefined deletes the key. */
    value?: string;
}

export interface QuarantineSharingOptions {
    /** Appends records; resolves to the offset of the first one. */
    append: (records: PendingRecord[]) => Promise<number>;
    /** Sends records to peers; failures are ignored. */
    relay: (records: PendingRecord[]) => void;
    /** Applies records to the state of this process. */
    apply: (records: KeyedRecord[]) => void;
    /** Returns a number in [0, 1). */
    random: () => number;
    onError: (error: Error) => void;
    /** Called with what the other functions throw; the queued records are appended nonetheless. */
    reportFault: FaultReporter;
}

export interface QuarantineSharing {
    /** Queues records, which replace queued ones of the same key. */
    publish: (records: PendingRecord[]) => void;
    /** Removes queued records that the log turns out to hold already. */
    settle: (keys: string[]) => void;
    /** Returns the queued records, for peers that ask. */
    listPending: () => PendingRecord[];
}

/** Time in which records are collected for one append, in milliseconds. */
const batchMs = 5;
/** Delays after failed appends, in milliseconds. */
const minRetryMs = 200;
const maxRetryMs = 2000;
/** Maximum number of queued records; the oldest ones are dropped. */
const maxPending = 128;

/** Creates the queue of this process. */
export function createQuarantineSharing(options: QuarantineSharingOptions): QuarantineSharing {
    const pending = new Map<string, PendingRecord>();
    const relayed = new Set<PendingRecord>();
    let failures = 0;
    let timer: NodeJS.Timeout | undefined;
    let isAppending = false;

    const schedule = (delayMs: number) => {
        if (pending.size > 0 && timer === undefined && !isAppending) {
            timer = setTimeout(containFaults(options.reportFault, flush), delayMs);
        }
    };
    const flush = async () => {
        timer = undefined;
        const batch = [...pending.values()];
        if (batch.length === 0) {
            return;
        }
        isAppending = true;
        try {
            const offset = await options.append(batch);
            failures = 0;
            apply(batch.map((record, index) => ({ ...record, offset: offset + index })));
            batch.forEach(record => pending.get(record.key) === record && pending.delete(record.key));
        }
        catch (error) {
            failures += 1;
            handleFailedAppend(batch, error as Error);
        }
        isAppending = false;
        schedule(
            failures === 0 ? batchMs : Math.min(maxRetryMs, minRetryMs * 2 ** failures) * (0.5 + options.random()),
        );
    };
    const apply = containFaults(options.reportFault, options.apply);
    const handleFailedAppend = containFaults(options.reportFault, (batch: PendingRecord[], error: Error) => {
        if (failures === 1) {
            options.onError(error);
        }
        const unknown = batch.filter(record => !relayed.has(record));
        relayed.clear();
        batch.forEach(record => relayed.add(record));
        if (unknown.length > 0) {
            options.relay(unknown);
        }
    });
    return {
        publish: records => {
            records.forEach(record => {
                pending.delete(record.key);
                pending.set(record.key, record);
            });
            [...pending.keys()].slice(0, Math.max(0, pending.size - maxPending)).forEach(key => pending.delete(key));
            options.apply(records.map(record => ({ ...record, offset: Infinity })));
            schedule(batchMs);
        },
        settle: keys => keys.forEach(key => pending.delete(key)),
        listPending: () => [...pending.values()],
    };
}
