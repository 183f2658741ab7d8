/** What the commands need of the operator's settings. */
import { loadSettings } from "../config/loadSettings.js";
import { type OperatorSettings, OperatorSettingsSchema } from "../config/settings.js";
import { createInputError } from "../core/errors.js";
import type { InstanceRecord } from "../core/types.js";
import { fetchInstances } from "../peers/loadInstances.js";
import { requestRpc } from "../wire/rpc.js";
import type { Options } from "./types.js";

const callTimeoutMs = 2000;
const maxCalls = 32;

export type InstanceResponse<T> = { instance: InstanceRecord; result: T; } | {
    instance: InstanceRecord;
    error: string;
};

/** Loads the settings of `--settings`; throws an `InputError` when the option is missing. */
export function loadOperatorSettings(options: Options): OperatorSettings {
    if (options.settings === undefined) {
        const message = "Name the operator's settings file, with addresses and keys";
        throw createInputError([{ code: "missing", path: ["--settings"], message }]);
    }
    return loadSettings(options.settings, OperatorSettingsSchema);
}

/** Finds the log's address in `--log` or `--settings`. */
export function loadLogUrl(options: Options): string {
    if (options.log === undefined && options.settings === undefined) {
        throw createInputError([{ code: "missing", path: ["--log"], message: "Name the log's address" }]);
    }
    return options.log ?? loadOperatorSettings(options).platform.log;
}

/** Calls a JSON-RPC method on every listed instance that `accept` lets through, a bounded number at a time. */
export async function callInstances<T>(
    settings: OperatorSettings,
    accept: (instance: InstanceRecord) => boolean,
    method: string,
    params: unknown,
): Promise<InstanceResponse<T>[]> {
    const listed = (await fetchInstances(settings.platform.list)).instances.filter(accept);
    const answers: InstanceResponse<T>[] = [];
    const waiting = [...listed];
    const askNext = async () => {
        for (let instance = waiting.shift(); instance !== undefined; instance = waiting.shift()) {
            answers.push(await callInstance<T>(settings, instance, method, params));
        }
    };
    await Promise.all(Array.from({ length: maxCalls }, askNext));
    return answers.sort((a, b) => a.instance.instance.localeCompare(b.instance.instance));
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
