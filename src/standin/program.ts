/** Runs this project's programs as child processes, for the demo, tests and benchmarks. */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** Line of a program's structured log; `msg` holds the text when a line is not JSON. */
export interface LogLine {
    name: string;
    instance: string;
    level: number;
    msg: string;
    port?: number;
    upstream?: string;
    internalPort?: number;
    revision?: number;
}

export interface ProgramProcess {
    child: ChildProcess;
    /** Log lines that the program has printed so far. */
    lines: LogLine[];
    /** Resolves with the first line, past or future, that `accept` returns true for; rejects on exit. */
    waitForLine: (accept: (line: LogLine) => boolean) => Promise<LogLine>;
    kill: (signal: NodeJS.Signals) => void;
    /** Resolves with the exit code, or undefined when a signal ended the program. */
    exited: Promise<number | undefined>;
}

const distDirectory = fileURLToPath(new URL("../../dist/", import.meta.url));

/** Starts `dist/bin/NAME.js`, which `npm run build` creates; `nodeArgs` are options of Node.js. */
export function startProgram(name: string, args: string[], nodeArgs: string[] = []): ProgramProcess {
    const child = spawn(process.execPath, [...nodeArgs, `${distDirectory}bin/${name}.js`, ...args], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const lines: LogLine[] = [];
    const waiters = new Set<(line: LogLine) => void>();
    createInterface({ input: child.stdout! }).on("line", text => {
        const line = parseLine(text);
        lines.push(line);
        waiters.forEach(waiter => waiter(line));
    });
    return {
        child,
        lines,
        waitForLine: accept => waitForLine(child, name, lines, waiters, accept),
        kill: signal => void child.kill(signal),
        exited: new Promise(resolve => child.once("exit", code => resolve(code ?? undefined))),
    };
}

function waitForLine(
    child: ChildProcess,
    name: string,
    lines: LogLine[],
    waiters: Set<(line: LogLine) => void>,
    accept: (line: LogLine) => boolean,
): Promise<LogLine> {
    const earlierLine = lines.find(accept);
    if (earlierLine !== undefined) {
        return Promise.resolve(earlierLine);
    }
    return new Promise((resolve, reject) => {
        const waiter = (line: LogLine) => {
            if (accept(line)) {
                waiters.delete(waiter);
                resolve(line);
            }
        };
        waiters.add(waiter);
        child.once(
            "exit",
            code => reject(new Error(`${name} exited with code ${code} before it logged the expected line`)),
        );
    });
}

function parseLine(text: string): LogLine {
    try {
        return JSON.parse(text) as LogLine;
    }
    catch {
        return { name: "", instance: "", level: 0, msg: text };
    }
}
