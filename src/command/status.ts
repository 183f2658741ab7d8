/** Commands that ask the running processes: `status`, `explain`. */
import type { ProcessStatus } from "../config/loadConfig.js";
import { createInputError } from "../core/errors.js";
import { PeerMethod } from "../peers/messages.js";
import { callInstances, type InstanceResponse, loadOperatorSettings } from "./operator.js";
import { formatTime, printResult, renderTable, withProgress } from "./output.js";
import { type Command, CommandExitCode } from "./types.js";

const logSilentMs = 30_000;

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

/** Shows which instance runs which revision since when, and who is cut off. */
export const statusCommand: Command = async (args, options) => {
    const settings = loadOperatorSettings(options);
    const answers = await withProgress(
        "asking the instances",
        () => callInstances<ProcessStatus>(settings, () => true, PeerMethod.status, {}),
    );
    const now = Date.now();
    const rows = answers.map(answer => describeAnswer(answer, answers, now));
    const columns = ["instance", "role", "dataCentre", "revision", "since", "source", "ready", "notes"];
    printResult(options, { instances: rows }, renderTable(columns, rows));
    return answers.every(answer => "result" in answer) ? CommandExitCode.ok : CommandExitCode.incomplete;
};

function describeAnswer(
    answer: InstanceResponse<ProcessStatus>,
    answers: InstanceResponse<ProcessStatus>[],
    now: number,
) {
    const { instance, role, dataCentre, state } = answer.instance;
    const deaf = answers
        .filter(other => "result" in other && other.result.silent.includes(instance))
        .map(other => other.instance.instance);
    const notes = deaf.length === 0 ? [] : [`not heard by ${deaf.join(", ")}`];
    if (state === "leaving") {
        notes.push("leaving");
    }
    if ("error" in answer) {
        notes.unshift("no answer");
        return { instance, role, dataCentre, revision: "?", since: "", source: "", ready: "", notes: notes.join("; ") };
    }
    const { result } = answer;
    if (now - result.logAnsweredAt > logSilentMs) {
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

/** Tells what became of a request: `explain REQUEST-ID`; or why a group has its expert map: `explain map GROUP`. */
export const explainCommand: Command = async ([first, second], options) => {
    if (first === undefined || (first === "map" && second === undefined)) {
        throw createInputError([{ code: "missing", path: [], message: "Name the request's id, or a group after map" }]);
    }
    const isMap = first === "map";
    const settings = loadOperatorSettings(options);
    const role = isMap ? "slot" : "entry";
    const method = isMap ? "explainMap" : "explain";
    const params = isMap ? { group: second } : { requestId: first };
    const answers = await withProgress(
        "asking the instances",
        () => callInstances<unknown>(settings, instance => instance.role === role, method, params),
    );
    const found = answers.flatMap(answer =>
        "result" in answer && answer.result ? [{ instance: answer.instance.instance, result: answer.result }] : []
    );
    if (found.length === 0) {
        const silent = answers.filter(answer => "error" in answer).length;
        process.stderr.write(`No ${role} knows of it; ${silent} of ${answers.length} gave no answer\n`);
        return silent === 0 ? CommandExitCode.failed : CommandExitCode.incomplete;
    }
    const render = isMap ? renderMaps : renderRequests;
    printResult(options, found, found.map(({ instance, result }) => render(instance, result)).join("\n\n"));
    return CommandExitCode.ok;
};

function renderRequests(instance: string, result: unknown): string {
    const { requestId, workspace, route, receivedAt, outcome, attempts } = result as ExplainResult;
    const title = `${requestId}: ${outcome}; workspace ${workspace}, route ${route}, received by ${instance} at ` +
        formatTime(receivedAt);
    const rows = attempts.map(item => ({
        attempt: item.attempt,
        instance: item.instance,
        started: formatTime(item.startedAt),
        ended: item.endedAt === undefined ? "" : formatTime(item.endedAt),
        verdict: item.verdict,
        reason: item.reason,
    }));
    return `${title}\n${renderTable(["attempt", "instance", "started", "ended", "verdict", "reason"], rows)}`;
}

function renderMaps(instance: string, result: unknown): string {
    const rows = Object.entries(result as object).map(([field, value]) => ({ field, value: JSON.stringify(value) }));
    return `${instance}\n${renderTable(["field", "value"], rows)}`;
}
