/** Loads the operator's settings and calls instances (processes of entries and slots) with them. */
import { loadSettings } from "../config/loadSettings.js";
import { type OperatorSettings, OperatorSettingsSchema } from "../config/settings.js";
import { createInputError } from "../core/errors.js";
import type { InstanceRecord } from "../core/types.js";
import { fetchInstances } from "../peers/loadInstances.js";
import { requestRpc } from "../wire/rpc.js";
import type { Options } from "./types.js";

const callTimeoutMs = 2000;
const maxConcurrentCalls = 32;

/** Result of a call to an instance, or the message of the error that ended it. */
export type InstanceResponse<T> = { instance: InstanceRecord; result: T; } | {
    instance: InstanceRecord;
    error: string;
};

/** Loads the settings file of `--settings`; throws an `InputError` if the option is missing or the file is invalid. */
export function loadOperatorSettings(options: Options): OperatorSettings {
    if (options.settings === undefined) {
        const message = "Name the operator's settings file, with addresses and keys";
        throw createInputError([{ code: "missing", path: ["--settings"], message }]);
    }
    return loadSettings(options.settings, OperatorSettingsSchema);
}

/** Returns the URL of the log from `--log`, or else from `--settings`; throws an `InputError` if both are missing. */
export function loadLogUrl(options: Options): string {
    if (options.log === undefined && options.settings === undefined) {
        throw createInputError([{ code: "missing", path: ["--log"], message: "Name the log's address" }]);
    }
    return options.log ?? loadOperatorSettings(options).platform.log;
}

/**
 * Calls a JSON-RPC method on every listed instance that passes `filter`, with bounded concurrency.
 * Returns one response per instance, sorted by instance name; failed calls do not throw.
 */
export async function callInstances<T>(
    settings: OperatorSettings,
    filter: (instance: InstanceRecord) => boolean,
    method: string,
    params: unknown,
): Promise<InstanceResponse<T>[]> {
    const listed = (await fetchInstances(settings.platform.list)).instances.filter(filter);
    const responses: InstanceResponse<T>[] = [];
    const queue = [...listed];
    const callNext = async () => {
        for (let instance = queue.shift(); instance !== undefined; instance = queue.shift()) {
            responses.push(await callInstance<T>(settings, instance, method, params));
        }
    };
    await Promise.all(Array.from({ length: maxConcurrentCalls }, callNext));
    return responses.sort((a, b) => a.instance.instance.localeCompare(b.instance.instance));
}

async function callInstance<T>(
    settings: OperatorSettings,
    instance: InstanceRecord,
    method: string,
    params: unknown,
): Promise<InstanceResponse<T>> {
    try {
        const options = { timeoutMs: callTimeoutMs, target: instance.instance };
        return { instance, result: await requestRpc<T>(settings, instance.url, method, params, options) };
    }
    catch (error) {
        return { instance, error: (error as Error).message };
    }
}
