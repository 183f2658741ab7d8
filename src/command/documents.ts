/** Commands on documents: `check`, `diff`, `publish`, `promote`. */
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { collectDocumentIssues } from "../config/documentChecks.js";
import type { FoldState } from "../config/fold.js";
import { ConfigPublisher } from "../config/publish.js";
import { DocumentSchema } from "../config/schemas.js";
import { createInputError, InputError } from "../core/errors.js";
import { parseYaml } from "../core/parse.js";
import { createLogClient } from "../log/client.js";
import { collectChanges } from "./diff.js";
import { loadLogUrl } from "./operator.js";
import { printResult, renderTable, withProgress } from "./output.js";
import { type Command, CommandExitCode, type Options } from "./types.js";

/** Checks a document and prints every finding with its place. */
export const checkCommand: Command = async ([file], options) => {
    loadDocument(file);
    printResult(options, { ok: true }, `${file}: no findings`);
    return CommandExitCode.ok;
};

/** Lists what a file changes, or what trial changes against production. */
export const diffCommand: Command = async ([file], options) => {
    const publisher = createPublisher(options);
    const environment = options.environment ?? (file === undefined ? "production" : "trial");
    const before = await readState(publisher, environment);
    const after = file === undefined ? (await readState(publisher, "trial")).document : loadDocument(file);
    const changes = collectChanges(parseStored(before.document), parseStored(after));
    const rows = changes.map(({ path, before: old, after: now }) => ({ path, before: old, after: now }));
    const title = `Against revision ${before.revision} of ${environment}`;
    const text = changes.length === 0 ? "no changes" : renderTable(["path", "before", "after"], rows);
    printResult(options, { environment, revision: before.revision, changes }, `${title}:\n${text}`);
    return CommandExitCode.ok;
};

/** Puts a document into force in trial. */
export const publishCommand: Command = async ([file], options) => {
    const document = loadDocument(file);
    return putDocument("trial", options, createPublisher(options), document);
};

/** Puts trial's document into force in production. */
export const promoteCommand: Command = async (args, options) => {
    const publisher = createPublisher(options);
    const trial = await readState(publisher, "trial");
    if (trial.document === undefined) {
        throw createInputError([{ code: "nothing", path: [], message: "Nothing has been published to trial" }]);
    }
    return putDocument("production", options, publisher, trial.document);
};

function createPublisher(options: Options): ConfigPublisher {
    const log = createLogClient(loadLogUrl(options));
    return new ConfigPublisher(log, error => process.stderr.write(`retrying: ${error.message}\n`));
}

function readState(publisher: ConfigPublisher, environment: string): Promise<FoldState> {
    return withProgress(`reading ${environment}`, () => publisher.read(environment));
}

function parseStored(document: unknown): unknown {
    const result = DocumentSchema.safeParse(document);
    return result.success ? result.data : document;
}

/** Loads a document and fills in the defaults; throws an `InputError` with every finding. */
function loadDocument(file: string | undefined): unknown {
    if (file === undefined) {
        throw createInputError([{ code: "missing", path: [], message: "Name the document's file" }]);
    }
    try {
        return parseYaml(file, readFileSync(file, "utf8"), DocumentSchema, collectDocumentIssues);
    }
    catch (error) {
        if (error instanceof InputError) {
            throw error;
        }
        throw createInputError([{ code: "unreadable", path: [], message: (error as Error).message }]);
    }
}

function findBase(state: FoldState, from: number | undefined): { revision: number; digest: string; } | undefined {
    const revision = from ?? state.revision;
    if (revision === 0) {
        return { revision, digest: "" };
    }
    if (revision === state.revision) {
        return { revision, digest: state.digest };
    }
    if (revision > state.revision) {
        const message = `Revision ${revision} does not exist; ${state.revision} is in force`;
        throw createInputError([{ code: "range", path: ["--from"], message }]);
    }
    return state.history.find(accepted => accepted.revision === revision);
}

async function putDocument(
    environment: string,
    options: Options,
    publisher: ConfigPublisher,
    document: unknown,
): Promise<number> {
    const state = await readState(publisher, environment);
    const base = findBase(state, options.from);
    if (base === undefined) {
        const reason = `revision ${options.from} was replaced long ago; revision ${state.revision} is in force`;
        const verdict = { accepted: false, revision: state.revision, author: state.author, reason };
        printResult(options, { environment, ...verdict }, `${environment}: rejected, ${reason}`);
        return CommandExitCode.rejected;
    }
    const { author } = options;
    const promotion = { id: randomUUID(), environment, base, author, document };
    const verdict = await withProgress(`promoting to ${environment}`, () => publisher.promote(promotion));
    const text = verdict.accepted ?
        `${environment}: revision ${verdict.revision} is in force` :
        `${environment}: rejected, ${verdict.reason}`;
    printResult(options, { environment, ...verdict }, text);
    return verdict.accepted ? CommandExitCode.ok : CommandExitCode.rejected;
}
