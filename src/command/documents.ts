/**
 * Commands on configuration documents: `check`, `diff`, `publish` (promotes a file to trial) and `promote` (promotes
 * the document of trial to production).
 */
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

/** Validates a document; throws an `InputError` that lists every issue with its position in the file. */
export const checkCommand: Command = async ([file], options) => {
    loadDocument(file);
    printResult(options, { ok: true }, `${file}: no findings`);
    return CommandExitCode.ok;
};

/**
 * Prints the changes that a file would make to an environment (trial by default), or, without a file, those that the
 * document of trial would make to an environment (production by default).
 */
export const diffCommand: Command = async ([file], options) => {
    const publisher = createPublisher(options);
    const environment = options.environment ?? (file === undefined ? "production" : "trial");
    const current = await readState(publisher, environment);
    const proposed = file === undefined ? (await readState(publisher, "trial")).document : loadDocument(file);
    const changes = collectChanges(applyDefaults(current.document), applyDefaults(proposed));
    const rows = changes.map(({ path, before, after }) => ({ path, before, after }));
    const title = `Against revision ${current.revision} of ${environment}`;
    const text = changes.length === 0 ? "no changes" : renderTable(["path", "before", "after"], rows);
    printResult(options, { environment, revision: current.revision, changes }, `${title}:\n${text}`);
    return CommandExitCode.ok;
};

/** Promotes a document file to trial. */
export const publishCommand: Command = async ([file], options) => {
    const document = loadDocument(file);
    return promoteDocument("trial", options, createPublisher(options), document);
};

/** Promotes the current document of trial to production. */
export const promoteCommand: Command = async (args, options) => {
    const publisher = createPublisher(options);
    const trial = await readState(publisher, "trial");
    if (trial.document === undefined) {
        throw createInputError([{ code: "nothing", path: [], message: "Nothing has been published to trial" }]);
    }
    return promoteDocument("production", options, publisher, trial.document);
};

function createPublisher(options: Options): ConfigPublisher {
    const log = createLogClient(loadLogUrl(options));
    return new ConfigPublisher(log, error => process.stderr.write(`retrying: ${error.message}\n`));
}

function readState(publisher: ConfigPublisher, environment: string): Promise<FoldState> {
    return withProgress(`reading ${environment}`, () => publisher.read(environment));
}

/** Applies defaults to a stored document; returns it unchanged if this version cannot parse it. */
function applyDefaults(document: unknown): unknown {
    const result = DocumentSchema.safeParse(document);
    return result.success ? result.data : document;
}

/** Loads a document file and applies defaults; throws an `InputError` that lists every issue. */
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

/**
 * Finds the base of a promotion: revision `from`, or else the current one; undefined if the history no longer holds it.
 * Throws an `InputError` if `from` does not exist yet.
 */
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

/** Promotes a document to an environment, prints the outcome and returns the exit code. */
async function promoteDocument(
    environment: string,
    options: Options,
    publisher: ConfigPublisher,
    document: unknown,
): Promise<number> {
    const state = await readState(publisher, environment);
    const base = findBase(state, options.from);
    if (base === undefined) {
        const reason = `revision ${options.from} was replaced long ago; revision ${state.revision} is in force`;
        const outcome = { accepted: false, revision: state.revision, author: state.author, reason };
        printResult(options, { environment, ...outcome }, `${environment}: rejected, ${reason}`);
        return CommandExitCode.rejected;
    }
    const { author } = options;
    const promotion = { id: randomUUID(), environment, base, author, document };
    const outcome = await withProgress(`promoting to ${environment}`, () => publisher.promote(promotion));
    const text = outcome.accepted ?
        `${environment}: revision ${outcome.revision} is in force` :
        `${environment}: rejected, ${outcome.reason}`;
    printResult(options, { environment, ...outcome }, text);
    return outcome.accepted ? CommandExitCode.ok : CommandExitCode.rejected;
}
