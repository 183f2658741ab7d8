/** Commands that query running instances (processes of entries and slots): `status`, `explain`. */
import type { ProcessStatus } from "../config/loadConfig.js";
import { createInputError } from "../core/errors.js";
import { PeerMethod } from "../peers/messages.js";
import { callInstances, type InstanceResponse, loadOperatorSettings } from "./operator.js";
import { formatTime, printResult, renderTable, withProgress } from "./output.js";
import { type Command, CommandExitCode } from "./types.js";

/** Age of an instance's last response from the log above which `status` reports it. */
const logSilenceMs = 30_000;

/** Result of the JSON-RPC method `explain`; times are in milliseconds since 1970. */
interface ExplainResult {
    requestId: string;
    workspace: string;
    route: string;
    receivedAt: number;
    outcome: string;
    attempts: {
        attempt: number;
        instance: string;
        startedAt: number;
        endedAt?: number;
        verdict: string;
        reason: string;
    }[];
}

/** Prints the revision and readiness of every instance, and notes on instances that are leaving or unreachable. */
export const statusCommand: Command = async (args, options) => {
    const settings = loadOperatorSettings(options);
    const responses = await withProgress(
        "asking the instances",
        () => callInstances<ProcessStatus>(settings, () => true, PeerMethod.status, {}),
    );
    const now = Date.now();
    const rows = responses.map(response => describeInstance(response, responses, now));
    const columns = ["instance", "role", "dataCentre", "revision", "since", "source", "ready", "notes"];
    printResult(options, { instances: rows }, renderTable(columns, rows));
    return responses.every(response => "result" in response) ? CommandExitCode.ok : CommandExitCode.incomplete;
};

/** Builds the table row of an instance. */
function describeInstance(
    response: InstanceResponse<ProcessStatus>,
    responses: InstanceResponse<ProcessStatus>[],
    now: number,
) {
    const { instance, role, dataCentre, state } = response.instance;
    const reportedSilentBy = responses
        .filter(other => "result" in other && other.result.silent.includes(instance))
        .map(other => other.instance.instance);
    const notes = reportedSilentBy.length === 0 ? [] : [`not heard by ${reportedSilentBy.join(", ")}`];
    if (state === "leaving") {
        notes.push("leaving");
    }
    if ("error" in response) {
        notes.unshift("no answer");
        return { instance, role, dataCentre, revision: "?", since: "", source: "", ready: "", notes: notes.join("; ") };
    }
    const { result } = response;
    if (now - result.logAnsweredAt > logSilenceMs) {
        notes.push(`the log last answered: ${formatTime(result.logAnsweredAt)}`);
    }
    if (result.refused !== undefined) {
        notes.push(`cannot use revision ${result.refused.revision}: ${result.refused.reason}`);
    }
    return {
        instance,
        role,
        dataCentre,
        revision: result.revision,
        since: formatTime(result.since),
        source: result.source,
        ready: result.ready ? "yes" : "no",
        notes: notes.join("; "),
    };
}

/**
 * Explains the outcome of a request (`explain REQUEST-ID`) or the reasons for the expert map of a group
 * (`explain map GROUP`), as recorded by the instances.
 */
export const explainCommand: Command = async ([first, second], options) => {
    if (first === undefined || (first === "map" && second === undefined)) {
        throw createInputError([{ code: "missing", path: [], message: "Name the request's id, or a group after map" }]);
    }
    const isMap = first === "map";
    const settings = loadOperatorSettings(options);
    const role = isMap ? "slot" : "entry";
    const method = isMap ? "explainMap" : "explain";
    const params = isMap ? { group: second } : { requestId: first };
    const responses = await withProgress(
        "asking the instances",
        () => callInstances<unknown>(settings, instance => instance.role === role, method, params),
    );
    const found = responses.flatMap(response =>
        "result" in response && isKnown(response.result) ?
            [{ instance: response.instance.instance, result: response.result }] :
            []
    );
    if (found.length === 0) {
        const failedCount = responses.filter(response => "error" in response).length;
        process.stderr.write(`No ${role} knows of it; ${failedCount} of ${responses.length} gave no answer\n`);
        return failedCount === 0 ? CommandExitCode.failed : CommandExitCode.incomplete;
    }
    const render = isMap ? renderMaps : renderRequests;
    printResult(options, found, found.map(({ instance, result }) => render(instance, result)).join("\n\n"));
    return CommandExitCode.ok;
};

/** Instances respond with an empty object to a question about what they do not know. */
function isKnown(result: unknown): boolean {
    return typeof result === "object" && Object.keys(result ?? {}).length > 0;
}

function renderRequests(instance: string, result: unknown): string {
    const { requestId, workspace, route, receivedAt, outcome, attempts } = result as ExplainResult;
    const title = `${requestId}: ${outcome}; workspace ${workspace}, route ${route}, received by ${instance} at ` +
        formatTime(receivedAt);
    const rows = attempts.map(attempt => ({
        attempt: attempt.attempt,
        instance: attempt.instance,
        started: formatTime(attempt.startedAt),
        ended: attempt.endedAt === undefined ? "" : formatTime(attempt.endedAt),
        verdict: attempt.verdict,
        reason: attempt.reason,
    }));
    return `${title}\n${renderTable(["attempt", "instance", "started", "ended", "verdict", "reason"], rows)}`;
}

function renderMaps(instance: string, result: unknown): string {
    const rows = Object.entries(result as object).map(([field, value]) => ({ field, value: JSON.stringify(value) }));
    return `${instance}\n${renderTable(["field", "value"], rows)}`;
}
